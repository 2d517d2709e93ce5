package org.passhaven.node;

/** Limits the log lines of one kind per second. Not thread-safe. */
public final class LineLimit {
  private static final long SECOND_MILLIS = 1_000;
  private final int maxLinesPerSecond;
  private long secondStartMillis = Long.MIN_VALUE / 2;
  private int linesInSecond;

  /** Creates a limit. */
  public LineLimit(int maxLinesPerSecond) {
    this.maxLinesPerSecond = maxLinesPerSecond;
  }

  /** Counts a line and returns whether it may be logged. */
  public boolean mayLog(long nowMillis) {
    if (nowMillis - secondStartMillis >= SECOND_MILLIS) {
      secondStartMillis = nowMillis;
      linesInSecond = 0;
    }
    return linesInSecond++ < maxLinesPerSecond;
  }
}
