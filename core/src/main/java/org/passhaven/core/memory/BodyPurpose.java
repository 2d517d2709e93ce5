package org.passhaven.core.memory;

/**
 * Purpose for which a node holds a body in memory. Each purpose has a reserved share of the budget.
 */
public enum BodyPurpose {
  /** Request bodies, held until the request is answered. */
  REQUEST(1.0 / 8),
  /** Response bodies, held until the caller has read them. */
  ANSWER(1.0 / 8),
  /** Job submissions and results: large, but few at a time. */
  JOB(1.0 / 16);

  private final double reservedShare;

  BodyPurpose(double reservedShare) {
    this.reservedShare = reservedShare;
  }

  /** Returns the fraction of the budget reserved for this purpose. */
  double reservedShare() {
    return reservedShare;
  }
}
