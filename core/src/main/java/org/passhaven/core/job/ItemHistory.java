package org.passhaven.core.job;

import org.passhaven.core.backend.ServerIncarnation;

/**
 * Timings and counts of an item's processing at this node, for log lines. Times are in monotonic
 * milliseconds; zero if the event did not occur.
 *
 * @param group group of the item
 * @param step step of its job
 * @param acceptedAtMillis time at which the job's acceptance was read
 * @param firstStartedAtMillis time at which its first generation was started
 * @param textCompletedAtMillis time at which its text was complete
 * @param events number of events of its text
 * @param attempts number of generations started
 * @param moves number of generations that were moved to another server
 * @param server server of the last generation
 */
public record ItemHistory(
    String group,
    long step,
    long acceptedAtMillis,
    long firstStartedAtMillis,
    long textCompletedAtMillis,
    long events,
    int attempts,
    int moves,
    ServerIncarnation server) {}
