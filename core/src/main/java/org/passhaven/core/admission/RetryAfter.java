package org.passhaven.core.admission;

import java.util.Objects;
import java.util.function.IntUnaryOperator;

/** Computes the time after which the caller of a rejected request may retry. */
final class RetryAfter {
  /**
   * Minimum delay. Servers need this long to serve some requests, so an earlier retry gains
   * nothing.
   */
  static final long MIN_MILLIS = 100;

  /**
   * The maximum delay is the caller's remaining time divided by this; callers ignore longer delays.
   */
  private static final int TIME_LEFT_DIVISOR = 3;

  /**
   * Highest priority number with its own delay: each priority retries half a drain time later than
   * the next more urgent one; higher numbers are treated like this one.
   */
  private static final int MAX_PRIORITY = 4;

  private final IntUnaryOperator randomBelow;

  /**
   * Creates a calculator.
   *
   * @param randomBelow returns a random number from zero (inclusive) to its argument (exclusive)
   */
  RetryAfter(IntUnaryOperator randomBelow) {
    this.randomBelow = Objects.requireNonNull(randomBelow, "randomBelow");
  }

  /**
   * Returns the time until the retry, with random jitter of half a drain time so that callers that
   * were rejected together don't retry together.
   *
   * @param drainMillis time until the current queue is likely to be empty
   * @param leftMillis time until the caller's deadline
   */
  long delayMillis(double drainMillis, int priority, long leftMillis) {
    long maxMillis = Math.max(1, leftMillis / TIME_LEFT_DIVISOR);
    long minMillis = Math.min(maxMillis, Math.max(MIN_MILLIS, (long) drainMillis));
    int bounded = Math.max(0, Math.min(MAX_PRIORITY, priority));
    long jitterMillis = Math.max(1, minMillis / 2);
    long earliestMillis =
        Math.max(1, Math.min(minMillis + bounded * jitterMillis, maxMillis - jitterMillis));
    return earliestMillis + randomBelow.applyAsInt((int) jitterMillis);
  }
}
