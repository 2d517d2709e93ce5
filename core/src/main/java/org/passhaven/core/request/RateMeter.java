package org.passhaven.core.request;

/**
 * Exponentially decaying average of the number of events per second. Times are in monotonic
 * milliseconds. Not thread-safe.
 */
public final class RateMeter {
  private static final double MILLIS_PER_SECOND = 1_000.0;
  private static final double WINDOW_MILLIS = 4_000.0;
  private double perSecond;
  private long updatedAtMillis;

  /** Creates a meter with a rate of zero. */
  public RateMeter(long nowMillis) {
    this.updatedAtMillis = nowMillis;
  }

  /** Counts one event. */
  public void recordEvent(long nowMillis) {
    decay(nowMillis);
    perSecond += MILLIS_PER_SECOND / WINDOW_MILLIS;
  }

  /** Returns the current rate in events per second. */
  public double perSecond(long nowMillis) {
    decay(nowMillis);
    return perSecond;
  }

  private void decay(long nowMillis) {
    perSecond *= Math.exp((updatedAtMillis - nowMillis) / WINDOW_MILLIS);
    updatedAtMillis = nowMillis;
  }
}
