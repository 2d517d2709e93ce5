package org.passhaven.core.admission;

/**
 * Answer times of one route: their moving average, and the shortest of the last seconds. Times in
 * monotonic milliseconds. Not thread-safe.
 */
final class RouteLatency {
  /** The shortest answer is forgotten after one to two windows: servers may have become slower. */
  private static final long WINDOW_MILLIS = 15_000;

  /**
   * Added to both sides of the ratio, so that jitter of short answers is not taken for queueing.
   */
  private static final long NOISE_MILLIS = 10;

  /** Weight of the newest answer in the moving average. */
  private static final double ANSWER_WEIGHT = 0.2;

  private long windowBeganAtMillis = Long.MIN_VALUE / 2;
  private long answeredAtMillis;
  private long shortestMillis = Long.MAX_VALUE;
  private long formerShortestMillis = Long.MAX_VALUE;
  private double smoothedMillis;

  /** Notes the time of an answer; returns its ratio to the shortest one. */
  double onAnswer(long tookMillis, long nowMillis) {
    if (nowMillis - windowBeganAtMillis >= WINDOW_MILLIS) {
      windowBeganAtMillis = nowMillis;
      formerShortestMillis = shortestMillis;
      shortestMillis = Long.MAX_VALUE;
    }
    answeredAtMillis = nowMillis;
    shortestMillis = Math.min(shortestMillis, tookMillis);
    smoothedMillis =
        smoothedMillis == 0
            ? tookMillis
            : smoothedMillis + ANSWER_WEIGHT * (tookMillis - smoothedMillis);
    long shortest = Math.min(shortestMillis, formerShortestMillis);
    return (tookMillis + NOISE_MILLIS) / (double) (shortest + NOISE_MILLIS);
  }

  /** Whether no answer has come for so long that the shortest one says little. */
  boolean isIdle(long nowMillis) {
    return nowMillis - answeredAtMillis >= 2 * WINDOW_MILLIS;
  }

  /** How long answers lately took, queues at servers included. */
  double smoothedMillis() {
    return smoothedMillis;
  }
}
