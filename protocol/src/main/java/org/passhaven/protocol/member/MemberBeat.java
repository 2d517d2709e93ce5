package org.passhaven.protocol.member;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Objects;

/**
 * Heartbeat of a node: a record that the node is alive and can reach the log.
 *
 * @param address host and port at which callers reach it
 * @param incarnation incarnation of the node; a higher one replaces a lower one
 * @param taking whether the node accepts new work
 * @param requestsPerSecond recent rate of forwarded requests
 * @param periodMillis time until the next heartbeat is due; zero if not reported
 * @param cores number of processor cores of the machine; zero if not reported
 * @param inLogMillis 1 in heartbeats sent before the log acknowledged the first one of this
 *     incarnation, then 1 plus the milliseconds since that acknowledgement; 0 if not reported
 * @param serverUse the node's use of model servers that it shares with other nodes; omitted from
 *     the encoding if empty, and ignored by older nodes
 * @param ownedRuns number of runs whose jobs the node runs; omitted from the encoding if zero, and
 *     ignored by older nodes
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
    @JsonInclude(JsonInclude.Include.NON_EMPTY) List<ServerUse> serverUse,
    @JsonInclude(JsonInclude.Include.NON_DEFAULT) int ownedRuns) {
  /**
   * Value of {@link #inLogMillis} until the log has acknowledged the first heartbeat of an
   * incarnation.
   */
  public static final long FIRST_IN_LOG_MILLIS = 1;

  /** An incarnation of a node. */
  public record NodeIncarnation(String node, long incarnation) {}

  public MemberBeat {
    Objects.requireNonNull(node, "node");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(zone, "zone");
    serverUse = serverUse == null ? List.of() : List.copyOf(serverUse);
  }

  /** Creates a heartbeat of a node that owns no run. */
  public MemberBeat(
      String node,
      String address,
      String zone,
      long incarnation,
      boolean taking,
      double requestsPerSecond,
      long periodMillis,
      double cores,
      long inLogMillis,
      List<ServerUse> serverUse) {
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
        serverUse,
        0);
  }

  /** Creates a heartbeat without server use. */
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

  /** Returns the incarnation of the node that wrote this heartbeat. */
  public NodeIncarnation nodeIncarnation() {
    return new NodeIncarnation(node, incarnation);
  }
}
