package org.passhaven.soak.plan;

import java.util.Set;

/**
 * What a plan is made for.
 *
 * @param nodeCount nodes
 * @param backEndCount back ends
 * @param trafficMillis length of the traffic, in ms
 * @param isFinalFaultCertain whether the run must end with the loss of all nodes at once
 * @param additions what is added to what the seed gives without them
 */
public record PlanSettings(
    int nodeCount,
    int backEndCount,
    long trafficMillis,
    boolean isFinalFaultCertain,
    Set<Addition> additions) {
  /** Checks and copies. */
  public PlanSettings {
    if (nodeCount < 1 || backEndCount < 1 || trafficMillis < 1) {
      throw new IllegalArgumentException("a plan needs nodes, back ends and time");
    }
    additions = Set.copyOf(additions);
  }
}
