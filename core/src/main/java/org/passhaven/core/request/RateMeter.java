package org.passhaven.core.request;

/** Events a second, smoothed over some seconds, on the node's monotonic clock. Not thread-safe. */
public final class RateMeter {
  private static final double MILLIS_PER_SECOND = 1_000.0;
  private static final double WINDOW_MILLIS = 4_000.0;
  private double perSecond;
  private long updatedAtMillis;

  /** Creates a meter that has seen nothing. */
  public RateMeter(long nowMillis) {
    this.updatedAtMillis = nowMillis;
  }

  /** One event happened. */
  public void mark(long nowMillis) {
    decay(nowMillis);
    perSecond += MILLIS_PER_SECOND / WINDOW_MILLIS;
  }

  /** Events a second by now. */
  public double perSecond(long nowMillis) {
    decay(nowMillis);
    return perSecond;
  }

  private void decay(long nowMillis) {
    perSecond *= Math.exp((updatedAtMillis - nowMillis) / WINDOW_MILLIS);
    updatedAtMillis = nowMillis;
  }
}
