package org.passhaven.core.routing;

/**
 * Circuit breaker of one back end: ejects it after consecutive failures for a period that doubles,
 * then ramps its share of the load up again. Times are in monotonic milliseconds. Not thread-safe.
 */
public final class BackEndHealth {
  private static final int EJECTION_THRESHOLD = 3;
  private static final long INITIAL_EJECTION_MILLIS = 1_000;
  private static final long MAX_EJECTION_MILLIS = 30_000;
  private static final long RAMP_MILLIS = 5_000;
  private static final double INITIAL_SHARE = 0.1;
  private int consecutiveFailures;
  private long ejectionMillis;
  private long ejectedUntilMillis = Long.MIN_VALUE;

  /** Records a successful request. */
  public void onSuccess(long nowMillis) {
    consecutiveFailures = 0;
    if (nowMillis >= ejectedUntilMillis + RAMP_MILLIS) {
      ejectionMillis = 0;
    }
  }

  /** Records a failed request. */
  public void onFailure(long nowMillis) {
    consecutiveFailures++;
    if (consecutiveFailures >= EJECTION_THRESHOLD && nowMillis >= ejectedUntilMillis) {
      ejectionMillis =
          Math.min(MAX_EJECTION_MILLIS, Math.max(INITIAL_EJECTION_MILLIS, ejectionMillis * 2));
      ejectedUntilMillis = nowMillis + ejectionMillis;
    }
  }

  /** Returns whether the back end may be chosen now. */
  public boolean isUsable(long nowMillis) {
    return nowMillis >= ejectedUntilMillis;
  }

  /** Returns the fraction of the normal load that the back end may get now, from 0 to 1. */
  public double loadShare(long nowMillis) {
    if (!isUsable(nowMillis)) {
      return 0;
    }
    if (ejectedUntilMillis == Long.MIN_VALUE) {
      return 1;
    }
    double ramp = (nowMillis - ejectedUntilMillis) / (double) RAMP_MILLIS;
    return Math.min(1, INITIAL_SHARE + (1 - INITIAL_SHARE) * ramp);
  }
}
