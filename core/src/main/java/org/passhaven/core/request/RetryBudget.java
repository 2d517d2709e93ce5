package org.passhaven.core.request;

/**
 * Bounds retries to a share of the load of a back-end group, so that a failing group is not buried
 * by them. Each first try earns a part of a retry; each retry spends a whole one. Not thread-safe.
 */
public final class RetryBudget {
  private final double earnedPerRequest;
  private final double most;
  private double tokens;

  /**
   * Creates a full budget.
   *
   * @param earnedPerRequest retries earned by a first try, such as 0.1
   * @param most most retries saved up
   */
  public RetryBudget(double earnedPerRequest, double most) {
    this.earnedPerRequest = earnedPerRequest;
    this.most = most;
    this.tokens = most;
  }

  /** A first try was sent. */
  public void onRequest() {
    tokens = Math.min(most, tokens + earnedPerRequest);
  }

  /** Spends one retry if there is one. */
  public boolean trySpend() {
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
