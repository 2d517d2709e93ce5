package org.passhaven.core.routing;

/** How an owner chooses engines and the order of samples. */
public enum DispatchPolicy {
  /**
   * By room, prefix affinity and zone; the step that the trainer takes first; over-age work
   * cancelled early.
   */
  DEFAULT,
  /** The plain baseline: engines in turn, full or not, samples in the order in which they came. */
  BASELINE
}
