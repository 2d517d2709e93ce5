package org.passhaven.core.coldstart;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * The minimum of a value over a time window. It is zero unless the value is known for the whole
 * window, and while the newest value is older than the window. Times are in monotonic milliseconds.
 * Not thread-safe.
 */
final class MinimumOverTime {
  private final long windowMillis;
  private final Deque<Sample> samples = new ArrayDeque<>();

  /** A value that is in force from a time until that of the next sample. */
  private record Sample(long sinceMillis, double value) {}

  MinimumOverTime(long windowMillis) {
    this.windowMillis = windowMillis;
  }

  /** Sets the value in force from now on. */
  void record(double value, long nowMillis) {
    if (!isCurrent(nowMillis)) {
      samples.clear();
    }
    removeBefore(nowMillis - windowMillis);
    samples.addLast(new Sample(nowMillis, value));
  }

  /** Removes the samples that are no longer in force at a time, keeping the one that is. */
  private void removeBefore(long millis) {
    while (samples.size() > 1 && secondSinceMillis() <= millis) {
      samples.removeFirst();
    }
  }

  private long secondSinceMillis() {
    Iterator<Sample> iterator = samples.iterator();
    iterator.next();
    return iterator.next().sinceMillis();
  }

  /** Forgets all values. */
  void clear() {
    samples.clear();
  }

  /** Returns the minimum over the window that ends now. */
  double get(long nowMillis) {
    removeBefore(nowMillis - windowMillis);
    boolean isKnown =
        isCurrent(nowMillis) && samples.getFirst().sinceMillis() <= nowMillis - windowMillis;
    return isKnown ? samples.stream().mapToDouble(Sample::value).min().orElse(0) : 0;
  }

  private boolean isCurrent(long nowMillis) {
    return !samples.isEmpty() && nowMillis - samples.getLast().sinceMillis() <= windowMillis;
  }
}
