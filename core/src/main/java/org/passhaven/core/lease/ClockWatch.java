package org.passhaven.core.lease;

/**
 * Tells when a node's clocks have moved apart. The monotonic clock does not count the time in which
 * the machine is suspended, the time of day does; but it may also be set, so neither alone tells
 * what has happened. Whoever holds something that lapses is to give it up at any gap: safe both
 * ways. Not thread-safe.
 */
public final class ClockWatch {
  /**
   * Gaps below are none: two clocks are read one after the other, and a processor that is shared
   * may stand still for a tenth of a second in between. The margins of leases are five times as
   * long.
   */
  public static final long LEAST_GAP_MILLIS = 200;

  private boolean isFirst = true;
  private long aheadMillis;

  /**
   * Compares the clocks.
   *
   * @return by how much the time of day has moved ahead of the monotonic clock since the last look,
   *     less than zero if it has fallen behind; zero if there is no gap
   */
  public long look(long monotonicMillis, long timeOfDayMillis) {
    long ahead = timeOfDayMillis - monotonicMillis;
    long gap = isFirst ? 0 : ahead - aheadMillis;
    isFirst = false;
    aheadMillis = ahead;
    return Math.abs(gap) >= LEAST_GAP_MILLIS ? gap : 0;
  }
}
