package org.passhaven.core.usage;

/**
 * Pace of usage reports.
 *
 * @param windowMillis length of a window; window k begins k times that after the start of 1970
 * @param fixAfterMillis time after a window's end at which its counts are fixed: what a node has
 *     counted is in the log by then
 */
public record UsageSettings(long windowMillis, long fixAfterMillis) {
  public UsageSettings {
    if (windowMillis < 1 || fixAfterMillis < 0) {
      throw new IllegalArgumentException(
          "windowMillis is " + windowMillis + ", fixAfterMillis is " + fixAfterMillis);
    }
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
