package org.passhaven.soak.run;

import java.nio.file.Path;

/**
 * One run.
 *
 * @param seed gives the plan and all that is drawn
 * @param nodeCount processes of the system
 * @param trafficMillis time from the first job to the last, in ms
 * @param isFinalFaultCertain whether the run must end with the loss of all nodes at once
 * @param isCalm whether nothing at all is done to the system but a final fault
 * @param hasCrashesAndSuspensions whether some requests crash servers and machines are suspended
 * @param hasSilentConnections whether open connections go silent for good, also in a calm run
 * @param hasHardLoad whether callers read slowly and one tenant floods, also in a calm run
 * @param hasEvacuations whether zones are evacuated and taken back, also in a calm run
 * @param hasSecondAnswers whether back ends give some answers twice, also in a calm run
 * @param hasCrashWaves whether several model servers crash at once, again and again, also in a calm
 *     run
 * @param hasEndlessAnswers whether some back ends answer without end, also in a calm run
 * @param load how much is asked of it
 * @param repository where the program was built
 * @param folder where the run leaves its files
 */
public record SoakSettings(
    long seed,
    int nodeCount,
    long trafficMillis,
    boolean isFinalFaultCertain,
    boolean isCalm,
    boolean hasCrashesAndSuspensions,
    boolean hasSilentConnections,
    boolean hasHardLoad,
    boolean hasEvacuations,
    boolean hasSecondAnswers,
    boolean hasCrashWaves,
    boolean hasEndlessAnswers,
    SoakLoad load,
    Path repository,
    Path folder) {
  /** Checks. */
  public SoakSettings {
    if (nodeCount < 1 || trafficMillis < 1) {
      throw new IllegalArgumentException("a soak needs nodes and time");
    }
    if (hasEvacuations && nodeCount < 2) {
      throw new IllegalArgumentException("evacuations need two nodes, in two zones");
    }
  }
}
