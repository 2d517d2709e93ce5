package org.passhaven.soak.check;

/** Judges one promise; pure. */
@FunctionalInterface
public interface Check {
  /** Counts checks and findings of the evidence. */
  void judge(Evidence evidence, Tally tally);
}
