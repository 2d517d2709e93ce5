package org.passhaven.core.job;

/**
 * Estimates the number of events of an item's text from the caller's length hint in tokens,
 * multiplied by the ratio of events to hinted tokens in earlier texts; without a hint, from the
 * mean length of earlier texts. Recent texts weigh more. Single hints are imprecise, so a text that
 * is longer than expected counts as half done. Not thread-safe.
 */
final class LengthEstimator {
  private static final double DECAY_FACTOR = 0.995;
  private static final double DEFAULT_EVENTS = 20;
  private static final double MIN_REMAINING_EVENTS = 1;
  private double hintedTokens;
  private double hintedEvents;
  private double totalEvents;
  private double itemCount;

  /** Adds the length of a complete text to the means. */
  void onCompleted(long expectedTokens, long eventCount) {
    totalEvents = totalEvents * DECAY_FACTOR + eventCount;
    itemCount = itemCount * DECAY_FACTOR + 1;
    if (expectedTokens > 0) {
      hintedTokens = hintedTokens * DECAY_FACTOR + expectedTokens;
      hintedEvents = hintedEvents * DECAY_FACTOR + eventCount;
    }
  }

  /** Returns the expected number of events of an item's text. */
  double expectedEvents(long expectedTokens) {
    if (expectedTokens > 0 && hintedTokens > 0) {
      return expectedTokens * hintedEvents / hintedTokens;
    }
    return itemCount > 0 ? totalEvents / itemCount : DEFAULT_EVENTS;
  }

  /** Returns the expected number of events after the first {@code eventCount}. */
  double remainingEvents(long expectedTokens, long eventCount) {
    double expected = expectedEvents(expectedTokens);
    double remaining = eventCount < expected ? expected - eventCount : eventCount;
    return Math.max(MIN_REMAINING_EVENTS, remaining);
  }
}
