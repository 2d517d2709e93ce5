package org.passhaven.core.usage;

/**
 * Pace of usage reports.
 *
 * @param windowMillis length of a window; window k begins k times that after the start of 1970
 * @param fixAfterMillis time after a window's end at which its counts are fixed: what a node has
 *     counted is in the log by then
 * @param mostTellsPerSecond appends of counts that all nodes together may make
 */
public record UsageSettings(long windowMillis, long fixAfterMillis, int mostTellsPerSecond) {
  /**
   * What a node has counted and not told is lost with it, and with a whole fleet all of it: a
   * twentieth of a window of 5 s is what a report may be off.
   */
  private static final long LEAST_TELL_MILLIS = 250;

  private static final long MILLIS_PER_SECOND = 1_000;

  public UsageSettings {
    if (windowMillis < 1 || fixAfterMillis < 0 || mostTellsPerSecond < 1) {
      throw new IllegalArgumentException(
          "windowMillis is "
              + windowMillis
              + ", fixAfterMillis is "
              + fixAfterMillis
              + ", mostTellsPerSecond is "
              + mostTellsPerSecond);
    }
  }

  /**
   * Time between two tells of a node, so that all nodes together stay within their share of the
   * log. Counts are there well before they are fixed, at any size.
   *
   * @param liveNodes nodes that are known to be alive
   */
  public long tellMillis(int liveNodes) {
    long shared = liveNodes * MILLIS_PER_SECOND / mostTellsPerSecond;
    return Math.max(LEAST_TELL_MILLIS, Math.min(fixAfterMillis / 2, shared));
  }

  /** Number of the window in which a moment of true time lies. */
  public long windowAt(long trueMillis) {
    return Math.floorDiv(trueMillis, windowMillis);
  }

  /** The newest window whose counts are to be fixed by now. */
  public long newestDue(long trueMillis) {
    return windowAt(trueMillis - fixAfterMillis) - 1;
  }
}
