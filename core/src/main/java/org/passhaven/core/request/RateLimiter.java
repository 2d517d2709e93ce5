package org.passhaven.core.request;

/** Token bucket over a caller's requests, on the node's monotonic clock. Not thread-safe. */
public final class RateLimiter {
  private static final double MILLIS_PER_SECOND = 1000.0;
  private final double perMilli;
  private final double burst;
  private double tokens;
  private long refilledAtMillis;

  /** Creates a full bucket. */
  public RateLimiter(double perSecond, double burst, long nowMillis) {
    this.perMilli = perSecond / MILLIS_PER_SECOND;
    this.burst = burst;
    this.tokens = burst;
    this.refilledAtMillis = nowMillis;
  }

  /** Takes one token; returns zero if it was there, else the milliseconds until the next one. */
  public long acquire(long nowMillis) {
    tokens = Math.min(burst, tokens + (nowMillis - refilledAtMillis) * perMilli);
    refilledAtMillis = nowMillis;
    if (tokens >= 1) {
      tokens--;
      return 0;
    }
    return (long) Math.ceil((1 - tokens) / perMilli);
  }
}
