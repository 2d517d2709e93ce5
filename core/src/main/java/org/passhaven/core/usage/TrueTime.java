package org.passhaven.core.usage;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * True time from a clock of the time of day that may jump by seconds, and back: the steady clock
 * and the middle one of the differences between the two lately seen. A jump counts once it has
 * lasted for half of the samples. A suspension, which the steady clock does not count, looks the
 * same as a jump: until it is believed, true time is behind by its length. Times in milliseconds.
 * Not thread-safe.
 */
public final class TrueTime {
  /** At two samples a second a jump of less than 15 s is never believed. */
  private static final int MOST_SAMPLES = 60;

  private final Deque<Long> differences = new ArrayDeque<>();
  private long middle;

  /** Both clocks were read at the same moment. */
  public void onSample(long steadyMillis, long timeOfDayMillis) {
    differences.addLast(timeOfDayMillis - steadyMillis);
    if (differences.size() > MOST_SAMPLES) {
      differences.removeFirst();
    }
    long[] sorted = differences.stream().mapToLong(Long::longValue).sorted().toArray();
    middle = sorted[(sorted.length - 1) / 2];
  }

  /** True time at a moment of the steady clock; {@link #onSample} was called before. */
  public long at(long steadyMillis) {
    return steadyMillis + middle;
  }
}
