package org.passhaven.core.log;

/**
 * How many reads of history a node may have under way. Nobody tells a node how many others read at
 * the same moment, nor what its link carries, so it learns that from its own reads: one more while
 * they are quick, half as many when one is lost. Times in monotonic milliseconds. Not thread-safe.
 */
public final class ReadWindow {
  /** A few at once, since one connection carries only a window's worth in a round trip. */
  private static final int FIRST_READS = 4;

  /** At a quarter of a megabyte each, two megabytes of a small heap are under way at most. */
  private static final int MAX_READS = 8;

  /** Below this a read had hardly to wait for others: a piece takes 35 ms over 60 Mbit/s. */
  private static final long QUICK_MILLIS = 300;

  /** Above this reads are queueing; they would be lost at some 1,200 ms of silence. */
  private static final long SLOW_MILLIS = 800;

  private int reads = FIRST_READS;
  private long shrunkAtMillis = Long.MIN_VALUE;

  /** Reads that may be under way now; at least one. */
  public int reads() {
    return reads;
  }

  /** A read was answered. */
  public void onAnswered(long tookMillis) {
    if (tookMillis <= QUICK_MILLIS) {
      reads = Math.min(MAX_READS, reads + 1);
    } else if (tookMillis >= SLOW_MILLIS) {
      reads = Math.max(1, reads - 1);
    }
  }

  /** A read was lost. Reads that began before the last loss was noticed tell nothing new. */
  public void onLost(long begunAtMillis, long nowMillis) {
    if (begunAtMillis >= shrunkAtMillis) {
      reads = Math.max(1, reads / 2);
      shrunkAtMillis = nowMillis;
    }
  }
}
