package org.passhaven.core.job;

/**
 * How many events an item's text will have, by the caller's hint and what hints came to so far.
 * Hints are right in the middle and often far off, so a text that is longer than expected counts as
 * half done. Not thread-safe.
 */
final class LengthEstimator {
  private static final double DECAY_FACTOR = 0.995;
  private static final double DEFAULT_EVENTS = 20;
  private static final double MIN_REMAINING_EVENTS = 1;
  private double hintedTokens;
  private double hintedEvents;
  private double totalEvents;
  private double itemCount;

  /** An item's text is whole. */
  void onCompleted(long expectedTokens, long madeEvents) {
    totalEvents = totalEvents * DECAY_FACTOR + madeEvents;
    itemCount = itemCount * DECAY_FACTOR + 1;
    if (expectedTokens > 0) {
      hintedTokens = hintedTokens * DECAY_FACTOR + expectedTokens;
      hintedEvents = hintedEvents * DECAY_FACTOR + madeEvents;
    }
  }

  /** Events that an item's text is expected to have. */
  double expectedEvents(long expectedTokens) {
    if (expectedTokens > 0 && hintedTokens > 0) {
      return expectedTokens * hintedEvents / hintedTokens;
    }
    return itemCount > 0 ? totalEvents / itemCount : DEFAULT_EVENTS;
  }

  /** Events that are expected to come after {@code madeEvents}. */
  double remainingEvents(long expectedTokens, long madeEvents) {
    double expected = expectedEvents(expectedTokens);
    double remaining = madeEvents < expected ? expected - madeEvents : madeEvents;
    return Math.max(MIN_REMAINING_EVENTS, remaining);
  }
}
