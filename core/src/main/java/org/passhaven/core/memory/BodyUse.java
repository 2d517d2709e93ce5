package org.passhaven.core.memory;

/** What a node holds a body for. Each use has a share of the budget reserved for it. */
public enum BodyUse {
  /** Bodies that callers send, until their requests are answered. */
  REQUEST(1.0 / 8),
  /** Answers of servers, until their callers have taken them. */
  ANSWER(1.0 / 8),
  /** Submissions and results of jobs: large, but few at a time. */
  JOB(1.0 / 16);

  private final double ownShare;

  BodyUse(double ownShare) {
    this.ownShare = ownShare;
  }

  /** Part of the budget reserved for this use. */
  double ownShare() {
    return ownShare;
  }
}
