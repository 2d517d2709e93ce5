package org.passhaven.core.backend;

/**
 * Tracks the peak number of concurrent requests over a recent time window, which determines how
 * many connections are kept open. Times are in monotonic milliseconds. Not thread-safe.
 */
public final class PeakConcurrency {
  /**
   * Time for which a peak is kept. Runs send requests in bursts several seconds apart; expiring the
   * peak between bursts would drop connections that the next burst needs.
   */
  static final long RETENTION_MILLIS = 10_000;

  /** Earlier than any real timestamp, but safe to subtract without overflow. */
  private static final long DISTANT_PAST_MILLIS = Long.MIN_VALUE / 2;

  private int peak;
  private long peakAtMillis = DISTANT_PAST_MILLIS;

  /** Records the current number of requests in progress and returns the peak. */
  public int update(int inProgress, long nowMillis) {
    if (inProgress >= peak || nowMillis - peakAtMillis > RETENTION_MILLIS) {
      peak = inProgress;
      peakAtMillis = nowMillis;
    }
    return peak;
  }
}
