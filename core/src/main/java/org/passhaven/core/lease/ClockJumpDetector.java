package org.passhaven.core.lease;

/**
 * Detects jumps between a node's monotonic clock and its time of day. The monotonic clock does not
 * count the time in which the machine is suspended; the time of day does, but may also be set, so
 * neither clock alone shows what has happened. A holder of a lease must stop acting at any jump, in
 * either direction. Not thread-safe.
 */
public final class ClockJumpDetector {
  /**
   * Minimum change that counts as a jump. Smaller ones occur because the clocks are read one after
   * the other and the process may be paused for about 100 ms in between. The safety margins of
   * leases are larger than this.
   */
  public static final long MIN_JUMP_MILLIS = 200;

  private boolean isFirst = true;
  private long previousOffsetMillis;

  /**
   * Compares the clocks with their values at the previous call.
   *
   * @return by how much the time of day has moved ahead of the monotonic clock since the previous
   *     call, negative if it has fallen behind; zero if there is no jump
   */
  public long check(long monotonicMillis, long timeOfDayMillis) {
    long offsetMillis = timeOfDayMillis - monotonicMillis;
    long jumpMillis = isFirst ? 0 : offsetMillis - previousOffsetMillis;
    isFirst = false;
    previousOffsetMillis = offsetMillis;
    return Math.abs(jumpMillis) >= MIN_JUMP_MILLIS ? jumpMillis : 0;
  }
}
