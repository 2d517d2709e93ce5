package org.passhaven.soak.check;

import org.passhaven.platform.standin.history.NodeObservation.MemorySeen;

/** {@link Promise#WITHIN_MEMORY}: the memory of each process, at each {@link MemorySeen}. */
final class MemoryCheck {
  /**
   * Bound of a process's resident memory: what a node assumes of its machine if its settings state
   * none.
   */
  private static final long MAX_RESIDENT_BYTES = 256_000_000;

  private MemoryCheck() {}

  /** Checks all observations. */
  static void judge(Evidence evidence, Tally tally) {
    evidence
        .all(MemorySeen.class)
        .forEach(
            seen ->
                tally.check(
                    seen.residentBytes() <= MAX_RESIDENT_BYTES
                        && seen.heldBytes() <= seen.budgetBytes(),
                    seen.atMillis(),
                    seen.node(),
                    seen.node(),
                    () ->
                        "%d bytes resident, %d at most; bodies of %d bytes held, %d at most"
                            .formatted(
                                seen.residentBytes(),
                                MAX_RESIDENT_BYTES,
                                seen.heldBytes(),
                                seen.budgetBytes())));
  }
}
