package org.passhaven.soak.check;

import org.passhaven.platform.standin.history.NodeObservation.MemorySeen;

/** {@link Promise#WITHIN_MEMORY}: what a process holds, each time that it was asked. */
final class MemoryCheck {
  /** Memory that a node takes its machine to have, as it is told nothing of it. */
  private static final long MOST_RESIDENT_BYTES = 256_000_000;

  private MemoryCheck() {}

  static void judge(Evidence evidence, Tally tally) {
    evidence
        .all(MemorySeen.class)
        .forEach(
            seen ->
                tally.check(
                    seen.residentBytes() <= MOST_RESIDENT_BYTES
                        && seen.heldBytes() <= seen.budgetBytes(),
                    seen.atMillis(),
                    seen.node(),
                    seen.node(),
                    () ->
                        "%d bytes resident, %d at most; bodies of %d bytes held, %d at most"
                            .formatted(
                                seen.residentBytes(),
                                MOST_RESIDENT_BYTES,
                                seen.heldBytes(),
                                seen.budgetBytes())));
  }
}
