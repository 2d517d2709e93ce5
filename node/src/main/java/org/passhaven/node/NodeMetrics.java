package org.passhaven.node;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

/** Holds the metric counters of one node; docs/OPERATIONS.md lists them. */
public final class NodeMetrics {
  /** Samples delivered to trainers. */
  public final Counter samplesHandedOver;

  /** Records appended to the log. */
  public final Counter recordsAppended;

  /** Appends retried because they failed or their records were not read back in time. */
  public final Counter appendsRepeated;

  /** Leases claimed. */
  public final Counter leasesClaimed;

  /** Generations started. */
  public final Counter generationsBegun;

  /** Generations that failed on an engine. */
  public final Counter generationsFailed;

  /** Requests answered. */
  public final Counter requestsAnswered;

  /** Requests refused without running. */
  public final Counter requestsRefused;

  /** Requests whose outcome is unknown. */
  public final Counter requestsUnknown;

  /** Requests retried on another server. */
  public final Counter requestsRetried;

  /** Messages sent to peers. */
  public final Counter peerMessages;

  /** Creates the counters in {@code registry}. */
  public NodeMetrics(MeterRegistry registry) {
    samplesHandedOver = registry.counter("passhaven.samples.handed.over");
    recordsAppended = registry.counter("passhaven.log.records.appended");
    appendsRepeated = registry.counter("passhaven.log.appends.repeated");
    leasesClaimed = registry.counter("passhaven.leases.claimed");
    generationsBegun = registry.counter("passhaven.generations.begun");
    generationsFailed = registry.counter("passhaven.generations.failed");
    requestsAnswered = registry.counter("passhaven.requests", "outcome", "answered");
    requestsRefused = registry.counter("passhaven.requests", "outcome", "refused-not-run");
    requestsUnknown = registry.counter("passhaven.requests", "outcome", "outcome-unknown");
    requestsRetried = registry.counter("passhaven.requests.retried");
    peerMessages = registry.counter("passhaven.peer.messages");
  }
}
