package org.passhaven.core.request;

/**
 * Token bucket that limits the rate of a caller's requests. Times are in monotonic milliseconds.
 * Not thread-safe.
 */
public final class RateLimiter {
  private static final double MILLIS_PER_SECOND = 1000.0;
  private final double tokensPerMilli;
  private final double burst;
  private double tokens;
  private long refilledAtMillis;

  /**
   * Creates a full bucket.
   *
   * @param perSecond tokens added per second
   * @param burst capacity of the bucket
   */
  public RateLimiter(double perSecond, double burst, long nowMillis) {
    this.tokensPerMilli = perSecond / MILLIS_PER_SECOND;
    this.burst = burst;
    this.tokens = burst;
    this.refilledAtMillis = nowMillis;
  }

  /**
   * Takes one token.
   *
   * @return zero if a token was available, else the milliseconds until the next one
   */
  public long acquire(long nowMillis) {
    tokens = Math.min(burst, tokens + (nowMillis - refilledAtMillis) * tokensPerMilli);
    refilledAtMillis = nowMillis;
    if (tokens >= 1) {
      tokens--;
      return 0;
    }
    return (long) Math.ceil((1 - tokens) / tokensPerMilli);
  }
}
