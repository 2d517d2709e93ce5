package org.passhaven.protocol.member;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
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
 * @param serverUse what it does at servers that generate, if it shares them with others; left out
 *     of the encoding where there is none, and ignored by nodes that do not know it
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
    long inLogMillis,
    @JsonInclude(JsonInclude.Include.NON_EMPTY) List<ServerUse> serverUse) {
  /** {@link #inLogMillis} of the first beat of a start. */
  public static final long FIRST_IN_LOG_MILLIS = 1;

  /** One start of a node. */
  public record Start(String node, long incarnation) {}

  public MemberBeat {
    Objects.requireNonNull(node, "node");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(zone, "zone");
    serverUse = serverUse == null ? List.of() : List.copyOf(serverUse);
  }

  /** A beat of a node that tells nothing of servers. */
  public MemberBeat(
      String node,
      String address,
      String zone,
      long incarnation,
      boolean taking,
      double requestsPerSecond,
      long periodMillis,
      double cores,
      long inLogMillis) {
    this(
        node,
        address,
        zone,
        incarnation,
        taking,
        requestsPerSecond,
        periodMillis,
        cores,
        inLogMillis,
        List.of());
  }

  /** The start of the node that wrote this beat. */
  public Start start() {
    return new Start(node, incarnation);
  }
}
