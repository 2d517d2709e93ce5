package org.passhaven.spi;

/**
 * How often, and how far, a node's clocks have moved apart since it started: its machine was
 * suspended, which the monotonic clock does not count, or its time of day was set.
 *
 * @param count of the gaps
 * @param lostMillis time that the monotonic clock may not have counted, all gaps together
 */
public record ClockGaps(long count, long lostMillis) {
  /** No gap was seen. */
  public static final ClockGaps NONE = new ClockGaps(0, 0);
}
