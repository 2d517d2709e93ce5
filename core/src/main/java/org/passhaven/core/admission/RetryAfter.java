package org.passhaven.core.admission;

import java.util.Objects;
import java.util.function.IntUnaryOperator;

/** Time after which the caller of a rejected request may retry. */
final class RetryAfter {
  /** Shortest time: servers need it to answer some requests, so a sooner retry gains nothing. */
  static final long MIN_MILLIS = 100;

  /** Longest time, as a part of the time that the caller has left: callers ignore longer ones. */
  private static final int MAX_PART_OF_TIME_LEFT = 3;

  /** Priorities that differ in their time: each retries half a drain time after the one before. */
  private static final int MAX_PRIORITY = 4;

  private final IntUnaryOperator randomBelow;

  /**
   * Creates the decision.
   *
   * @param randomBelow random number from zero to below the argument
   */
  RetryAfter(IntUnaryOperator randomBelow) {
    this.randomBelow = Objects.requireNonNull(randomBelow, "randomBelow");
  }

  /**
   * The time, with random jitter of half a drain time so that callers that were rejected together
   * don't retry together.
   *
   * @param drainMillis time until the present queue is likely to be empty
   * @param leftMillis time that the caller has
   */
  long millis(double drainMillis, int priority, long leftMillis) {
    long maxMillis = Math.max(1, leftMillis / MAX_PART_OF_TIME_LEFT);
    long minMillis = Math.min(maxMillis, Math.max(MIN_MILLIS, (long) drainMillis));
    int bounded = Math.max(0, Math.min(MAX_PRIORITY, priority));
    long jitterMillis = Math.max(1, minMillis / 2);
    long earliestMillis =
        Math.max(1, Math.min(minMillis + bounded * jitterMillis, maxMillis - jitterMillis));
    return earliestMillis + randomBelow.applyAsInt((int) jitterMillis);
  }
}
