package org.passhaven.core.member;

/**
 * How often a node tells that it is alive. Nodes on which runs, orders or callers depend beat at
 * the pace of the settings, so that their loss shows soon; all others share a bounded number of
 * beats a second, so that beats cost the log the same at any size of the fleet. Pure.
 */
public final class BeatPace {
  /** Two fifths of the appends that a partition takes, at 4 ms each; the rest is for the others. */
  private static final int IDLE_BEATS_PER_SECOND = 100;

  private static final long MIN_IDLE_MILLIS = 1_000;

  /** An idle node that is lost is named to nobody, so that it may be thought alive this long. */
  private static final long MAX_IDLE_MILLIS = 10_000;

  private static final long MILLIS_PER_SECOND = 1_000;

  private BeatPace() {}

  /**
   * Time between two beats of a node on which nobody depends.
   *
   * @param liveNodes nodes that are known to be alive
   */
  public static long idleMillis(int liveNodes) {
    long shared = liveNodes * MILLIS_PER_SECOND / IDLE_BEATS_PER_SECOND;
    return Math.max(MIN_IDLE_MILLIS, Math.min(MAX_IDLE_MILLIS, shared));
  }
}
