package org.passhaven.spi;

/**
 * Number and total size of the clock jumps at a node since it started. A jump is a divergence of
 * the monotonic clock and the time of day, because the machine was suspended or its time was set.
 *
 * @param count number of jumps
 * @param lostMillis total time that the monotonic clock may not have counted
 */
public record ClockJumps(long count, long lostMillis) {
  /** No jumps detected. */
  public static final ClockJumps NONE = new ClockJumps(0, 0);
}
