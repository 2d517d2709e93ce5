package org.passhaven.core.admission;

import java.util.Objects;
import java.util.function.IntUnaryOperator;

/** When the caller of a rejected request may come back. */
final class RetryAfter {
  /** A server's room changes with each answer, so nothing is gained by coming back sooner. */
  static final long MIN_MILLIS = 100;

  /** Callers honour no more than this part of the time that they have left. */
  private static final int MAX_PART_OF_TIME_LEFT = 3;

  /** Ranks that are told apart: each comes back half a drain time after the one before. */
  private static final int MAX_RANK = 4;

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
   * Spread over half a drain time, so that those who were rejected together don't return together.
   *
   * @param drainMillis time until there is likely to be room
   * @param leftMillis time that the caller has
   */
  long millis(double drainMillis, int priority, long leftMillis) {
    long most = Math.max(1, leftMillis / MAX_PART_OF_TIME_LEFT);
    long least = Math.min(most, Math.max(MIN_MILLIS, (long) drainMillis));
    int rank = Math.max(0, Math.min(MAX_RANK, priority));
    long spread = Math.max(1, least / 2);
    long earliest = Math.max(1, Math.min(least + rank * spread, most - spread));
    return earliest + randomBelow.applyAsInt((int) spread);
  }
}
