package org.passhaven.core.backend;

/** Most requests that lately were in progress together. Times in monotonic milliseconds. */
public final class PeakUse {
  /**
   * Runs send their requests in bursts some seconds apart. A peak that was forgotten between two of
   * them would give up connections that the next one needs.
   */
  static final long HELD_MILLIS = 10_000;

  private int peak;
  private long peakAtMillis = Long.MIN_VALUE / 2;

  /** So many are in progress now; tells the peak. */
  public int mark(int inProgress, long nowMillis) {
    if (inProgress >= peak || nowMillis - peakAtMillis > HELD_MILLIS) {
      peak = inProgress;
      peakAtMillis = nowMillis;
    }
    return peak;
  }
}
