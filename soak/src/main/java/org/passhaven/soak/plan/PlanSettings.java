package org.passhaven.soak.plan;

/**
 * What a plan is made for.
 *
 * @param nodeCount nodes
 * @param backEndCount back ends
 * @param trafficMillis length of the traffic, in ms
 * @param isFinalFaultCertain whether the run must end with the loss of all nodes at once
 * @param hasCrashesAndSuspensions whether requests that crash servers and suspended machines are
 *     added to what the seed gives without them
 * @param hasSilentConnections whether open connections to the store and to back ends go silent for
 *     good, added to what the seed gives without
 * @param hasHardLoad whether slow readers and floods by one tenant are added
 * @param hasEvacuations whether zones are evacuated and taken back, one after the other
 * @param hasSecondAnswers whether back ends give some answers twice
 * @param hasCrashWaves whether several model servers crash at once, again and again
 * @param hasEndlessAnswers whether some back ends answer without end
 */
public record PlanSettings(
    int nodeCount,
    int backEndCount,
    long trafficMillis,
    boolean isFinalFaultCertain,
    boolean hasCrashesAndSuspensions,
    boolean hasSilentConnections,
    boolean hasHardLoad,
    boolean hasEvacuations,
    boolean hasSecondAnswers,
    boolean hasCrashWaves,
    boolean hasEndlessAnswers) {
  /** Checks. */
  public PlanSettings {
    if (nodeCount < 1 || backEndCount < 1 || trafficMillis < 1) {
      throw new IllegalArgumentException("a plan needs nodes, back ends and time");
    }
  }
}
