package org.passhaven.core.routing;

/** Policy by which a shard owner chooses engines and orders samples. */
public enum DispatchPolicy {
  /**
   * Chooses engines by free capacity, prefix affinity and zone, starts with the step that the
   * trainer consumes first, and cancels stale samples early.
   */
  DEFAULT,
  /**
   * Baseline for comparison: engines in round-robin order regardless of load, samples in order of
   * arrival.
   */
  BASELINE
}
