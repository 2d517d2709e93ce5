package org.passhaven.node;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.passhaven.core.lease.LeaseTiming;
import org.passhaven.core.membership.MembershipSettings;
import org.passhaven.core.routing.DispatchPolicy;
import org.passhaven.protocol.NodeId;

/**
 * Settings of one node, checked and immutable.
 *
 * @param node unique name
 * @param zone zone, as in the machine list
 * @param address host and port that peers and callers reach
 * @param seeds peer addresses asked first, beside the machine list
 * @param lease clock rules of leases
 * @param membership pace of heartbeats
 * @param decisionInterval time between two rounds of an owner's decisions
 * @param machineListInterval time between two looks at the machine list
 * @param loadReportInterval time between two load reports of an engine
 * @param maxReportsPerInterval most engines that are asked for a report in one period
 * @param candidatesPerShard nodes that follow a shard's stream: the owner and its standbys
 * @param minEngineSubsetSize engines of a group that one user takes at least
 * @param intentStreamCount streams over which idempotency keys are spread
 * @param maxConcurrentSwaps most engines of a group that swap weights at the same time
 * @param dispatchPolicy how owners choose engines
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

  /** Defaults for a node. */
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

  /** The same settings with another policy. */
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
