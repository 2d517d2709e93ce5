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
 */
public record MemberBeat(
    String node,
    String address,
    String zone,
    long incarnation,
    boolean taking,
    double requestsPerSecond,
    long periodMillis) {
  public MemberBeat {
    Objects.requireNonNull(node, "node");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(zone, "zone");
  }
}
