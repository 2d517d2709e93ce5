package org.passhaven.core.scale;

import java.util.ArrayDeque;
import java.util.Deque;

/** Estimates from results how many items a busy server finishes in a second. Not thread-safe. */
public final class CompletionRate {
  /** Longer than the pauses between reads of results, which arrive in clumps. */
  private static final long WINDOW_MILLIS = 5_000;

  private static final int MAX_WINDOWS = 12;
  private static final double MILLIS_PER_SECOND = 1_000;

  /** A window with less work than one server for a second tells nothing about the rate. */
  private static final double MIN_BUSY_SECONDS = 1;

  private record Window(long items, double busySeconds) {}

  private final Deque<Window> windows = new ArrayDeque<>();
  private long items;
  private double busySeconds;
  private long windowStartMillis = Long.MIN_VALUE;
  private long lastSampleMillis;

  /** Counts items that were finished. */
  public void onFinished(int count) {
    items += count;
  }

  /** Adds the time since the last sample, in which about this many servers were busy. */
  public void sample(double busyServers, long nowMillis) {
    if (windowStartMillis == Long.MIN_VALUE) {
      start(nowMillis);
      return;
    }
    busySeconds += busyServers * (nowMillis - lastSampleMillis) / MILLIS_PER_SECOND;
    lastSampleMillis = nowMillis;
    if (nowMillis - windowStartMillis >= WINDOW_MILLIS) {
      windows.addLast(new Window(items, busySeconds));
      if (windows.size() > MAX_WINDOWS) {
        windows.removeFirst();
      }
      start(nowMillis);
    }
  }

  /** Discards the present window, after a time in which results could not be read. */
  public void restart() {
    windowStartMillis = Long.MIN_VALUE;
  }

  private void start(long nowMillis) {
    windowStartMillis = nowMillis;
    lastSampleMillis = nowMillis;
    items = 0;
    busySeconds = 0;
  }

  /**
   * Returns the highest rate of the last minute, since servers are at times slow or without work;
   * zero if none is known.
   */
  public double itemsPerServerSecond() {
    return windows.stream()
        .filter(window -> window.busySeconds() >= MIN_BUSY_SECONDS)
        .mapToDouble(window -> window.items() / window.busySeconds())
        .max()
        .orElse(0);
  }
}
