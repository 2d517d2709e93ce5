package org.passhaven.core.usage;

/**
 * Timing of usage reports.
 *
 * @param windowMillis length of a window; window k begins k window lengths after the Unix epoch
 * @param fixAfterMillis time after a window's end at which its counts are fixed; all nodes have
 *     published their counts by then
 * @param maxPublishesPerSecond maximum number of appends of counts per second by all nodes together
 */
public record UsageSettings(long windowMillis, long fixAfterMillis, int maxPublishesPerSecond) {
  /**
   * Minimum publish interval, which limits the load on the log. Counts not yet published are lost
   * if their node fails, and those of all nodes if the whole fleet fails: at this interval, a
   * twentieth of a window of 5 s.
   */
  private static final long MIN_PUBLISH_INTERVAL_MILLIS = 250;

  private static final long MILLIS_PER_SECOND = 1_000;

  public UsageSettings {
    if (windowMillis < 1 || fixAfterMillis < 0 || maxPublishesPerSecond < 1) {
      throw new IllegalArgumentException(
          "windowMillis is "
              + windowMillis
              + ", fixAfterMillis is "
              + fixAfterMillis
              + ", maxPublishesPerSecond is "
              + maxPublishesPerSecond);
    }
  }

  /**
   * Returns the interval at which a node publishes its counts, such that counts are published
   * before they are fixed and, if that allows it, all nodes together stay within {@code
   * maxPublishesPerSecond}.
   *
   * @param liveNodes number of nodes that are known to be alive
   */
  public long publishIntervalMillis(int liveNodes) {
    long sharedIntervalMillis = liveNodes * MILLIS_PER_SECOND / maxPublishesPerSecond;
    return Math.max(
        MIN_PUBLISH_INTERVAL_MILLIS, Math.min(fixAfterMillis / 2, sharedIntervalMillis));
  }

  /** Returns the number of the window that contains a moment. */
  public long windowAt(long timeOfDayMillis) {
    return Math.floorDiv(timeOfDayMillis, windowMillis);
  }

  /** Returns the newest window whose counts are due to be fixed. */
  public long newestDue(long timeOfDayMillis) {
    return windowAt(timeOfDayMillis - fixAfterMillis) - 1;
  }
}
