package org.passhaven.core.job;

import org.passhaven.core.backend.ServerStart;

/**
 * How an item came to its result at this node, for the log. Times in monotonic milliseconds; zero
 * where it did not come to that.
 *
 * @param group group of the item
 * @param step step of its job
 * @param acceptedAtMillis when the job's acceptance was read
 * @param firstBegunAtMillis when its first generation here began
 * @param wholeAtMillis when its text was whole
 * @param events events of its text
 * @param attempts generations begun here
 * @param moves generations that were moved to another server
 * @param server server of the last generation
 */
public record ItemHistory(
    String group,
    long step,
    long acceptedAtMillis,
    long firstBegunAtMillis,
    long wholeAtMillis,
    long events,
    int attempts,
    int moves,
    ServerStart server) {}
