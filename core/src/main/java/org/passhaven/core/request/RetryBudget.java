package org.passhaven.core.request;

/**
 * Bounds retries to a share of the load of a back-end group, so that a failing group is not buried
 * by them. Each first try earns a part of a retry; each retry spends a whole one. Not thread-safe.
 */
public final class RetryBudget {
  /** Parts of one retry, in which earnings are counted. */
  public static final int PARTS_PER_RETRY = 1_000;

  private final int earnedPerRequest;
  private final long most;
  private long parts;

  /**
   * Creates a full budget.
   *
   * @param earnedPerRequest parts of a retry earned by a first try, such as 100 for one retry in
   *     ten
   * @param mostRetries most whole retries saved up
   */
  public RetryBudget(int earnedPerRequest, int mostRetries) {
    this.earnedPerRequest = earnedPerRequest;
    this.most = (long) mostRetries * PARTS_PER_RETRY;
    this.parts = most;
  }

  /** A first try was sent. */
  public void onRequest() {
    parts = Math.min(most, parts + earnedPerRequest);
  }

  /** Whether a retry is left. */
  public boolean hasRetry() {
    return parts >= PARTS_PER_RETRY;
  }

  /** Spends one retry if there is one. */
  public boolean trySpend() {
    if (parts < PARTS_PER_RETRY) {
      return false;
    }
    parts -= PARTS_PER_RETRY;
    return true;
  }
}
