package org.passhaven.node.gateway;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.passhaven.core.duty.DutyLease;
import org.passhaven.core.order.LoadLimit;
import org.passhaven.core.usage.UsageSettings;

/**
 * Settings of one gateway node, checked and immutable.
 *
 * @param node unique name of the machine
 * @param zone zone of the machine
 * @param address host and port at which callers reach it
 * @param jobPartitions partitions over which runs are spread
 * @param beat time between two beats
 * @param silence time without a beat after which a node is dead
 * @param tick time between two rounds of decisions
 * @param lease who may order weights
 * @param loads how many servers of a service load weights at a time
 * @param inForce time within which news of the operator and of servers must be acted on
 * @param keepJobs time for which ended jobs stay readable
 * @param mostRecordBytes largest record of the log
 * @param mostAppendBytes largest append to the log
 * @param usage when usage is reported; empty where it is not
 * @param cores processor of the machine, in cores; zero if it is not known
 */
public record GatewaySettings(
    String node,
    String zone,
    String address,
    int jobPartitions,
    Duration beat,
    Duration silence,
    Duration tick,
    DutyLease.Settings lease,
    LoadLimit loads,
    Duration inForce,
    Duration keepJobs,
    int mostRecordBytes,
    int mostAppendBytes,
    Optional<UsageSettings> usage,
    double cores) {
  public GatewaySettings {
    Objects.requireNonNull(node, "node");
    Objects.requireNonNull(zone, "zone");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(lease, "lease");
    Objects.requireNonNull(loads, "loads");
    Objects.requireNonNull(usage, "usage");
    if (inForce.toMillis() < 1) {
      throw new IllegalArgumentException("inForce must be at least 1 ms, but is " + inForce);
    }
    if (jobPartitions < 1) {
      throw new IllegalArgumentException("jobPartitions must be at least 1");
    }
    if (!(cores >= 0)) {
      throw new IllegalArgumentException("cores must not be negative, but is " + cores);
    }
  }
}
