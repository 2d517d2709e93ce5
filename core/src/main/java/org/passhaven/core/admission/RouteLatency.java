package org.passhaven.core.admission;

/**
 * Response times of one route: their moving average, and the minimum and maximum of the last
 * seconds. Times are in monotonic milliseconds. Not thread-safe.
 */
final class RouteLatency {
  /** Minimum and maximum expire after one to two windows, since servers may have become slower. */
  private static final long WINDOW_MILLIS = 15_000;

  /**
   * Added to both sides of the ratio, so that jitter of short responses is not taken for queueing.
   */
  private static final long NOISE_MILLIS = 10;

  /** Weight of the newest response in the moving average. */
  private static final double RESPONSE_WEIGHT = 0.2;

  private long windowBeganAtMillis = Long.MIN_VALUE / 2;
  private long respondedAtMillis;
  private long shortestMillis = Long.MAX_VALUE;
  private long previousShortestMillis = Long.MAX_VALUE;
  private long longestMillis;
  private long previousLongestMillis;
  private double smoothedMillis;

  /** Records a response time and returns its ratio to the shortest one. */
  double onResponse(long tookMillis, long nowMillis) {
    if (nowMillis - windowBeganAtMillis >= WINDOW_MILLIS) {
      windowBeganAtMillis = nowMillis;
      previousShortestMillis = shortestMillis;
      shortestMillis = Long.MAX_VALUE;
      previousLongestMillis = longestMillis;
      longestMillis = 0;
    }
    respondedAtMillis = nowMillis;
    shortestMillis = Math.min(shortestMillis, tookMillis);
    longestMillis = Math.max(longestMillis, tookMillis);
    smoothedMillis =
        smoothedMillis == 0
            ? tookMillis
            : smoothedMillis + RESPONSE_WEIGHT * (tookMillis - smoothedMillis);
    long shortest = Math.min(shortestMillis, previousShortestMillis);
    return (tookMillis + NOISE_MILLIS) / (double) (shortest + NOISE_MILLIS);
  }

  /** Returns whether no response has arrived for so long that the recorded times are outdated. */
  boolean isIdle(long nowMillis) {
    return nowMillis - respondedAtMillis >= 2 * WINDOW_MILLIS;
  }

  /** Returns the longest response time of the last seconds. */
  long longestMillis() {
    return Math.max(longestMillis, previousLongestMillis);
  }

  /** Returns the moving average of response times, including queueing at servers. */
  double smoothedMillis() {
    return smoothedMillis;
  }
}
