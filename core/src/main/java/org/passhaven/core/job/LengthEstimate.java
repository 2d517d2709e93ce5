package org.passhaven.core.job;

/**
 * How many events an item's text will have, by the caller's hint and what hints came to so far.
 * Hints are right in the middle and often far off, so a text that is longer than expected counts as
 * half done. Not thread-safe.
 */
final class LengthEstimate {
  private static final double KEPT_SHARE = 0.995;
  private static final double UNKNOWN_EVENTS = 20;
  private static final double MIN_REMAINING_EVENTS = 1;
  private double tokens;
  private double hintedEvents;
  private double events;
  private double items;

  /** An item's text is whole. */
  void onWhole(long expectedTokens, long madeEvents) {
    events = events * KEPT_SHARE + madeEvents;
    items = items * KEPT_SHARE + 1;
    if (expectedTokens > 0) {
      tokens = tokens * KEPT_SHARE + expectedTokens;
      hintedEvents = hintedEvents * KEPT_SHARE + madeEvents;
    }
  }

  /** Events that an item's text is expected to have. */
  double expectedEvents(long expectedTokens) {
    if (expectedTokens > 0 && tokens > 0) {
      return expectedTokens * hintedEvents / tokens;
    }
    return items > 0 ? events / items : UNKNOWN_EVENTS;
  }

  /** Events that are expected to come after {@code madeEvents}. */
  double remainingEvents(long expectedTokens, long madeEvents) {
    double expected = expectedEvents(expectedTokens);
    double remaining = madeEvents < expected ? expected - madeEvents : madeEvents;
    return Math.max(MIN_REMAINING_EVENTS, remaining);
  }
}
