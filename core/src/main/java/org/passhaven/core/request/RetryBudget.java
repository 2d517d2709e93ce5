package org.passhaven.core.request;

/**
 * Limits retries to a fraction of the requests to a back-end group, so that retries don't overload
 * a failing group. Each first attempt earns a part of a retry; each retry spends a whole one. Not
 * thread-safe.
 */
public final class RetryBudget {
  /** Number of parts of one retry; earnings are counted in parts. */
  public static final int PARTS_PER_RETRY = 1_000;

  private final int earnedPartsPerRequest;
  private final long maxParts;
  private long parts;

  /**
   * Creates a full budget.
   *
   * @param earnedPartsPerRequest parts earned by a first attempt, such as 100 for one retry in ten
   *     attempts
   * @param maxRetries maximum number of saved retries
   */
  public RetryBudget(int earnedPartsPerRequest, int maxRetries) {
    this.earnedPartsPerRequest = earnedPartsPerRequest;
    this.maxParts = (long) maxRetries * PARTS_PER_RETRY;
    this.parts = maxParts;
  }

  /** Records a first attempt. */
  public void onRequest() {
    parts = Math.min(maxParts, parts + earnedPartsPerRequest);
  }

  /** Returns whether a retry is available. */
  public boolean hasRetry() {
    return parts >= PARTS_PER_RETRY;
  }

  /** Spends one retry and returns true if one is available. */
  public boolean trySpend() {
    if (parts < PARTS_PER_RETRY) {
      return false;
    }
    parts -= PARTS_PER_RETRY;
    return true;
  }
}
