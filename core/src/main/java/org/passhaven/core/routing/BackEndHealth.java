package org.passhaven.core.routing;

/**
 * Whether one back end is used: left out after failures in a row for a time that doubles, then let
 * back with a share of the load that grows. Pure; times in the node's monotonic milliseconds. Not
 * thread-safe.
 */
public final class BackEndHealth {
  private static final int FAILURES_TO_LEAVE_OUT = 3;
  private static final long FIRST_LEFT_OUT_MILLIS = 1_000;
  private static final long MOST_LEFT_OUT_MILLIS = 30_000;
  private static final long RAMP_MILLIS = 5_000;
  private static final double FIRST_SHARE = 0.1;
  private int failuresInRow;
  private long leftOutMillis;
  private long leftOutUntil = Long.MIN_VALUE;

  /** A request was answered. */
  public void onSuccess(long nowMillis) {
    failuresInRow = 0;
    if (nowMillis >= leftOutUntil + RAMP_MILLIS) {
      leftOutMillis = 0;
    }
  }

  /** A request failed on the way to the back end or in it. */
  public void onFailure(long nowMillis) {
    failuresInRow++;
    if (failuresInRow >= FAILURES_TO_LEAVE_OUT && nowMillis >= leftOutUntil) {
      leftOutMillis =
          Math.min(MOST_LEFT_OUT_MILLIS, Math.max(FIRST_LEFT_OUT_MILLIS, leftOutMillis * 2));
      leftOutUntil = nowMillis + leftOutMillis;
    }
  }

  /** Whether it may be chosen now. */
  public boolean isUsable(long nowMillis) {
    return nowMillis >= leftOutUntil;
  }

  /** Share of a normal load that it may get now, from 0 to 1. */
  public double share(long nowMillis) {
    if (!isUsable(nowMillis)) {
      return 0;
    }
    if (leftOutUntil == Long.MIN_VALUE) {
      return 1;
    }
    double ramp = (nowMillis - leftOutUntil) / (double) RAMP_MILLIS;
    return Math.min(1, FIRST_SHARE + (1 - FIRST_SHARE) * ramp);
  }
}
