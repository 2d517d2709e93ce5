package org.passhaven.core.usage;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimates the correct time of day from a clock that may temporarily jump by seconds: adds the
 * median of the recent differences between the time of day and the steady clock to the steady
 * clock. A jump takes effect once it has lasted for half of the samples. A suspension, which the
 * steady clock does not count, looks the same as a jump: until it takes effect, the estimate is
 * behind by its length. Times are in milliseconds. Not thread-safe.
 */
public final class TimeOfDayEstimator {
  /**
   * Maximum number of samples. With two samples per second, jumps shorter than 15 s are ignored.
   */
  private static final int MAX_SAMPLES = 60;

  private final Deque<Long> differencesMillis = new ArrayDeque<>();
  private long medianMillis;

  /** Adds a sample of both clocks, read at the same moment. */
  public void onSample(long steadyMillis, long timeOfDayMillis) {
    differencesMillis.addLast(timeOfDayMillis - steadyMillis);
    if (differencesMillis.size() > MAX_SAMPLES) {
      differencesMillis.removeFirst();
    }
    long[] sorted = differencesMillis.stream().mapToLong(Long::longValue).sorted().toArray();
    medianMillis = sorted[(sorted.length - 1) / 2];
  }

  /**
   * Returns the estimated time of day at a moment of the steady clock; {@link #onSample} must have
   * been called before.
   */
  public long estimateMillis(long steadyMillis) {
    return steadyMillis + medianMillis;
  }
}
