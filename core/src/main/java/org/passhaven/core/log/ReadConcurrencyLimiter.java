package org.passhaven.core.log;

/**
 * Limits the number of concurrent history reads of a node by additive increase and multiplicative
 * decrease: the limit grows by one after a fast read, shrinks by one after a slow one and is halved
 * when a read is lost. A fixed limit would not do, since the node knows neither the bandwidth of
 * its link nor how many other nodes are reading. Times are in monotonic milliseconds. Not
 * thread-safe.
 */
public final class ReadConcurrencyLimiter {
  /**
   * Initial limit; more than one, since a single connection does not fill a link with a long round
   * trip.
   */
  private static final int INITIAL_READS = 4;

  /** Maximum limit; bounds the memory held by reads in flight to two megabytes. */
  private static final int MAX_READS = 8;

  /**
   * A read that completes within this time raises the limit: it hardly waited for other reads, as a
   * chunk takes 35 ms over 60 Mbit/s.
   */
  private static final long FAST_READ_MILLIS = 300;

  /**
   * A read that takes at least this long was queued and lowers the limit. Shorter than the 1,200 ms
   * without data after which a read fails, so that the limit falls before reads are lost.
   */
  private static final long SLOW_READ_MILLIS = 800;

  private int limit = INITIAL_READS;
  private long lastLossAtMillis = Long.MIN_VALUE;

  /** Returns the maximum number of concurrent reads; at least one. */
  public int maxConcurrentReads() {
    return limit;
  }

  /** Adjusts the limit after a read that completed. */
  public void onReadCompleted(long durationMillis) {
    if (durationMillis <= FAST_READ_MILLIS) {
      limit = Math.min(MAX_READS, limit + 1);
    } else if (durationMillis >= SLOW_READ_MILLIS) {
      limit = Math.max(1, limit - 1);
    }
  }

  /**
   * Halves the limit after a lost read. Reads that started before the last loss was detected are
   * ignored, so that reads lost together halve the limit only once.
   */
  public void onReadLost(long startedAtMillis, long nowMillis) {
    if (startedAtMillis >= lastLossAtMillis) {
      limit = Math.max(1, limit / 2);
      lastLossAtMillis = nowMillis;
    }
  }
}
