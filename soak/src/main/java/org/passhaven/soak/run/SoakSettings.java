package org.passhaven.soak.run;

import java.nio.file.Path;
import java.util.Set;
import org.passhaven.soak.plan.Addition;

/**
 * One run.
 *
 * @param seed gives the plan and all that is drawn
 * @param nodeCount processes of the system
 * @param trafficMillis time from the first job to the last, in ms
 * @param isFinalFaultCertain whether the run must end with the loss of all nodes at once
 * @param isCalm whether nothing at all is done to the system but a final fault
 * @param additions faults beyond those of the seed, but for crashes also in a calm run
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
    Set<Addition> additions,
    SoakLoad load,
    Path repository,
    Path folder) {
  /** Checks and copies. */
  public SoakSettings {
    if (nodeCount < 1 || trafficMillis < 1) {
      throw new IllegalArgumentException("a soak needs nodes and time");
    }
    if (additions.contains(Addition.EVACUATIONS) && nodeCount < 2) {
      throw new IllegalArgumentException("evacuations need two nodes, in two zones");
    }
    additions = Set.copyOf(additions);
  }

  /** Returns whether some faults are added. */
  boolean has(Addition addition) {
    return additions.contains(addition);
  }
}
