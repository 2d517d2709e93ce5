package org.passhaven.node;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.passhaven.core.lease.LeaseTiming;
import org.passhaven.core.membership.MembershipSettings;
import org.passhaven.core.routing.DispatchPolicy;
import org.passhaven.protocol.NodeId;

/**
 * Holds the immutable settings of one node.
 *
 * @param node unique name of the node
 * @param zone zone of the node, as in the machine list
 * @param address host and port at which peers and callers reach the node
 * @param seeds addresses of peers; unused, since nodes are discovered from the machine list
 * @param lease durations of leases
 * @param membership settings of heartbeats and failure detection
 * @param decisionInterval interval between two decision rounds of a shard's owner
 * @param machineListInterval interval between two reads of the machine list
 * @param loadReportInterval interval between two rounds of requests for engines' load reports
 * @param maxReportsPerInterval maximum number of engines asked for a report in one round
 * @param candidatesPerShard number of nodes that read a shard's stream: the owner and its standbys
 * @param minEngineSubsetSize minimum number of engines that one user of a group uses, if the group
 *     has as many
 * @param intentStreamCount number of streams over which idempotency keys are distributed
 * @param maxConcurrentSwaps maximum number of engines of a group that load weights at the same time
 * @param dispatchPolicy policy by which shard owners choose engines
 */
public record NodeSettings(
    NodeId node,
    String zone,
    String address,
    List<String> seeds,
    LeaseTiming lease,
    MembershipSettings membership,
    Duration decisionInterval,
    Duration machineListInterval,
    Duration loadReportInterval,
    int maxReportsPerInterval,
    int candidatesPerShard,
    int minEngineSubsetSize,
    int intentStreamCount,
    int maxConcurrentSwaps,
    DispatchPolicy dispatchPolicy) {
  public NodeSettings {
    Objects.requireNonNull(node, "node");
    Objects.requireNonNull(zone, "zone");
    Objects.requireNonNull(address, "address");
    seeds = List.copyOf(seeds);
  }

  /** Returns the default settings for a node. */
  public static NodeSettings defaults(
      NodeId node, String zone, String address, List<String> seeds) {
    return new NodeSettings(
        node,
        zone,
        address,
        seeds,
        new LeaseTiming(Duration.ofSeconds(6), Duration.ofMillis(500), Duration.ofSeconds(2)),
        MembershipSettings.DEFAULT,
        Duration.ofMillis(100),
        Duration.ofSeconds(1),
        Duration.ofMillis(500),
        3,
        3,
        8,
        16,
        64,
        DispatchPolicy.DEFAULT);
  }

  /** Returns a copy with another dispatch policy. */
  public NodeSettings withDispatchPolicy(DispatchPolicy policy) {
    return new NodeSettings(
        node,
        zone,
        address,
        seeds,
        lease,
        membership,
        decisionInterval,
        machineListInterval,
        loadReportInterval,
        maxReportsPerInterval,
        candidatesPerShard,
        minEngineSubsetSize,
        intentStreamCount,
        maxConcurrentSwaps,
        policy);
  }
}
