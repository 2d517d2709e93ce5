package org.passhaven.core.admission;

/**
 * How long answers of one route take now, against the shortest of the last seconds. Times in
 * monotonic milliseconds. Not thread-safe.
 */
final class RouteLatency {
  /** The shortest answer is forgotten after one to two of these: servers may have become slower. */
  private static final long WINDOW_MILLIS = 15_000;

  /** What sending and scheduling add to any answer, so that it does not pass for queueing. */
  private static final long NOISE_MILLIS = 10;

  private static final double WEIGHT = 0.2;
  private long windowBeganAtMillis = Long.MIN_VALUE / 2;
  private long answeredAtMillis;
  private long leastMillis = Long.MAX_VALUE;
  private long formerLeastMillis = Long.MAX_VALUE;
  private double smoothedMillis;

  /** An answer took so long. Returns how many times that is of the shortest one. */
  double onAnswer(long tookMillis, long nowMillis) {
    if (nowMillis - windowBeganAtMillis >= WINDOW_MILLIS) {
      windowBeganAtMillis = nowMillis;
      formerLeastMillis = leastMillis;
      leastMillis = Long.MAX_VALUE;
    }
    answeredAtMillis = nowMillis;
    leastMillis = Math.min(leastMillis, tookMillis);
    smoothedMillis =
        smoothedMillis == 0 ? tookMillis : smoothedMillis + WEIGHT * (tookMillis - smoothedMillis);
    long shortest = Math.min(leastMillis, formerLeastMillis);
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
