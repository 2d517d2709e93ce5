package org.passhaven.node.gateway;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.passhaven.core.duty.DutyLease;
import org.passhaven.core.order.ConcurrentLoadLimit;
import org.passhaven.core.topology.Topology;
import org.passhaven.core.usage.UsageSettings;

/**
 * Validated, immutable settings of one gateway node.
 *
 * @param node unique name of the machine
 * @param zone zone of the machine
 * @param address host and port at which callers reach it
 * @param jobPartitions number of log partitions over which runs are distributed
 * @param heartbeatInterval interval between heartbeats while other parties depend on this node
 * @param heartbeatTimeout time without a heartbeat after which a node is considered dead
 * @param decisionInterval interval between rounds of scheduling decisions
 * @param lease timing of the duty lease
 * @param loadLimit limit on the servers of a service that load weights at the same time
 * @param propagationLimit time within which changes of the configuration and of servers must take
 *     effect
 * @param jobRetention retention time of ended jobs
 * @param maxRecordBytes maximum size of a log record
 * @param maxAppendBytes maximum size of an append to the log
 * @param usage schedule of usage reports; empty if usage is not reported
 * @param cores number of processor cores of the machine; zero if unknown
 * @param topology zones and regions of the deployment
 * @param survivedZoneLosses number of zones that may be lost at once while all requests must still
 *     be served
 * @param mayScale whether this deployment orders the number of servers of its services
 */
public record GatewaySettings(
    String node,
    String zone,
    String address,
    int jobPartitions,
    Duration heartbeatInterval,
    Duration heartbeatTimeout,
    Duration decisionInterval,
    DutyLease.Settings lease,
    ConcurrentLoadLimit loadLimit,
    Duration propagationLimit,
    Duration jobRetention,
    int maxRecordBytes,
    int maxAppendBytes,
    Optional<UsageSettings> usage,
    double cores,
    Topology topology,
    int survivedZoneLosses,
    boolean mayScale) {
  public GatewaySettings {
    Objects.requireNonNull(node, "node");
    Objects.requireNonNull(zone, "zone");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(lease, "lease");
    Objects.requireNonNull(loadLimit, "loadLimit");
    Objects.requireNonNull(usage, "usage");
    Objects.requireNonNull(topology, "topology");
    if (propagationLimit.toMillis() < 1) {
      throw new IllegalArgumentException(
          "propagationLimit must be at least 1 ms, but is " + propagationLimit);
    }
    if (jobPartitions < 1) {
      throw new IllegalArgumentException("jobPartitions must be at least 1");
    }
    if (!(cores >= 0)) {
      throw new IllegalArgumentException("cores must not be negative, but is " + cores);
    }
  }

  /** Returns whether no single zone may hold all that a node or a run depends on. */
  public boolean spreadsOverZones() {
    return survivedZoneLosses > 0 || topology.hasSeveralRegions();
  }

  /** Creates settings of a deployment with a single region that orders no servers. */
  public GatewaySettings(
      String node,
      String zone,
      String address,
      int jobPartitions,
      Duration heartbeatInterval,
      Duration heartbeatTimeout,
      Duration decisionInterval,
      DutyLease.Settings lease,
      ConcurrentLoadLimit loadLimit,
      Duration propagationLimit,
      Duration jobRetention,
      int maxRecordBytes,
      int maxAppendBytes,
      Optional<UsageSettings> usage,
      double cores) {
    this(
        node,
        zone,
        address,
        jobPartitions,
        heartbeatInterval,
        heartbeatTimeout,
        decisionInterval,
        lease,
        loadLimit,
        propagationLimit,
        jobRetention,
        maxRecordBytes,
        maxAppendBytes,
        usage,
        cores,
        Topology.ofZone(zone),
        0,
        false);
  }
}
