package org.passhaven.soak.proxy;

/**
 * Tells when bytes have passed through a link of a given bandwidth, which may be shared by many
 * connections. Safe for use by several threads.
 */
public final class BandwidthMeter {
  private static final double BITS_PER_BYTE = 8;
  private static final double NANOS_PER_MICRO = 1_000;
  private final double nanosPerByte;
  private long freeAtNanos = Long.MIN_VALUE;

  private BandwidthMeter(double nanosPerByte) {
    this.nanosPerByte = nanosPerByte;
  }

  /** A meter for so many Mbit/s. */
  public static BandwidthMeter ofMegabits(double megabitsPerSecond) {
    if (!(megabitsPerSecond > 0)) {
      throw new IllegalArgumentException("bandwidth must be above 0 Mbit/s");
    }
    return new BandwidthMeter(BITS_PER_BYTE * NANOS_PER_MICRO / megabitsPerSecond);
  }

  /** A meter without a limit. */
  public static BandwidthMeter unlimited() {
    return new BandwidthMeter(0);
  }

  /** Takes the link for the bytes and tells when the last of them has passed, in ns. */
  public synchronized long reserve(int byteCount, long nowNanos) {
    long beginNanos = Math.max(nowNanos, freeAtNanos);
    freeAtNanos = beginNanos + Math.round(byteCount * nanosPerByte);
    return freeAtNanos;
  }
}
