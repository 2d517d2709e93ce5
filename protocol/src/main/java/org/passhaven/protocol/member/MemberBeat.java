package org.passhaven.protocol.member;

import java.util.Objects;

/**
 * A node is alive and reaches the log.
 *
 * @param address host and port at which callers reach it
 * @param incarnation its start; a higher one replaces a lower one
 * @param taking whether it takes new work
 * @param requestsPerSecond requests that it lately forwarded
 * @param periodMillis time in which its next beat is to come; zero if it does not say
 * @param cores processor of its machine, in cores; zero if it does not say
 * @param inLogMillis time since the first beat of this start was known to be in the log, and one;
 *     one in beats that were written before that, zero if the node does not say
 */
public record MemberBeat(
    String node,
    String address,
    String zone,
    long incarnation,
    boolean taking,
    double requestsPerSecond,
    long periodMillis,
    double cores,
    long inLogMillis) {
  /** {@link #inLogMillis} of the first beat of a start. */
  public static final long FIRST_IN_LOG_MILLIS = 1;

  /** One start of a node. */
  public record Start(String node, long incarnation) {}

  public MemberBeat {
    Objects.requireNonNull(node, "node");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(zone, "zone");
  }

  /** The start of the node that wrote this beat. */
  public Start start() {
    return new Start(node, incarnation);
  }
}
