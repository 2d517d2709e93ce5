package org.passhaven.core.member;

/**
 * Heartbeat interval of idle nodes. Nodes on which runs, orders or callers depend use the interval
 * of the settings, so that their loss is detected quickly. All other nodes share a bounded number
 * of heartbeats per second, so that the load on the log does not grow between 100 and 1000 nodes.
 * In smaller fleets the minimum interval applies, in larger ones the maximum.
 */
public final class HeartbeatInterval {
  /**
   * Heartbeats per second of all idle nodes together. An append takes 4 ms, so these are two fifths
   * of the appends that a partition takes; the rest is for other records.
   */
  private static final int IDLE_HEARTBEATS_PER_SECOND = 100;

  private static final long MIN_IDLE_MILLIS = 1_000;

  /** The loss of an idle node may be detected late, since callers are not directed to it. */
  private static final long MAX_IDLE_MILLIS = 10_000;

  private static final long MILLIS_PER_SECOND = 1_000;

  private HeartbeatInterval() {}

  /**
   * Returns the time between two heartbeats of an idle node.
   *
   * @param liveNodes number of nodes that are known to be alive
   */
  public static long idleMillis(int liveNodes) {
    long shared = liveNodes * MILLIS_PER_SECOND / IDLE_HEARTBEATS_PER_SECOND;
    return Math.max(MIN_IDLE_MILLIS, Math.min(MAX_IDLE_MILLIS, shared));
  }
}
