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
 * @param inLogMillis milliseconds since the first beat of this start was acknowledged by the log,
 *     plus one; one before that, zero if the node does not report it
 * @param serverUse its use of servers that generate, if it shares them with other nodes; omitted
 *     from the encoding if empty, and ignored by nodes that do not know it
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

  /** A beat without a report of server use. */
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
