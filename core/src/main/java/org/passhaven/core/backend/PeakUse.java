package org.passhaven.core.backend;

/**
 * Largest number of requests that were in progress at once within the last seconds. Times in
 * monotonic milliseconds. Not thread-safe.
 */
public final class PeakUse {
  /**
   * Time for which a peak is kept. Runs send their requests in bursts some seconds apart; a peak
   * that was forgotten between two bursts would give up connections that the next one needs.
   */
  static final long HELD_MILLIS = 10_000;

  /** Before any time that is given, with no overflow when subtracted. */
  private static final long LONG_AGO_MILLIS = Long.MIN_VALUE / 2;

  private int peak;
  private long peakAtMillis = LONG_AGO_MILLIS;

  /** Notes the present number of requests in progress and returns the peak. */
  public int mark(int inProgress, long nowMillis) {
    if (inProgress >= peak || nowMillis - peakAtMillis > HELD_MILLIS) {
      peak = inProgress;
      peakAtMillis = nowMillis;
    }
    return peak;
  }
}
