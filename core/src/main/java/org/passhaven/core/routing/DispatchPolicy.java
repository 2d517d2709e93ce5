package org.passhaven.core.routing;

/** Policy by which the owner of a shard chooses engines for samples and handles stale weights. */
public enum DispatchPolicy {
  /**
   * Chooses engines by free capacity, prefix affinity and zone; keeps later steps off the engines
   * that run awaited samples, waits for newer weights, and cancels stale generations early.
   */
  DEFAULT,
  /**
   * Baseline for comparison: chooses engines in round-robin order regardless of load, and does none
   * of the above.
   */
  BASELINE
}
