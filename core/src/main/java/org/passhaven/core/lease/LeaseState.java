package org.passhaven.core.lease;

import java.util.Objects;

/**
 * Timing state of one lease as seen by one node: until when the node may act as holder, and from
 * when it may claim. It is updated with the records that the node reads and has no clock of its
 * own. Not thread-safe.
 */
public final class LeaseState {
  private final LeaseTiming timing;
  private long epoch;
  private boolean isOwnClaim;
  private boolean isReleased;
  private long lastReadAtMillis;
  private long holderStopsAtMillis = Long.MIN_VALUE;

  /** Records sent up to this time don't extend the lease. */
  private long ignoredUntilMillis = Long.MIN_VALUE;

  /** Creates the state of a lease without a known holder. */
  public LeaseState(LeaseTiming timing, long nowMillis) {
    this.timing = Objects.requireNonNull(timing, "timing");
    this.lastReadAtMillis = nowMillis;
  }

  /**
   * Applies a valid claim that was read.
   *
   * @param isOwn whether this incarnation of this node made it; an earlier incarnation counts as
   *     another holder
   * @param sentAtMillis when an own claim was first sent; ignored for others
   */
  public void onClaimRead(long newEpoch, boolean isOwn, long readAtMillis, long sentAtMillis) {
    epoch = newEpoch;
    isOwnClaim = isOwn;
    isReleased = false;
    lastReadAtMillis = readAtMillis;
    holderStopsAtMillis = Long.MIN_VALUE;
    extend(sentAtMillis);
  }

  private void extend(long sentAtMillis) {
    if (isOwnClaim && sentAtMillis > ignoredUntilMillis) {
      holderStopsAtMillis = Math.max(holderStopsAtMillis, timing.holderStopsAt(sentAtMillis));
    }
  }

  /**
   * Handles a clock jump: the lease may have expired. The holder may act again once a record that
   * it sends from now on has been read.
   */
  public void onClockJump(long nowMillis) {
    holderStopsAtMillis = Long.MIN_VALUE;
    ignoredUntilMillis = nowMillis;
  }

  /** Applies a record that carries the current epoch, which renews the lease. */
  public void onFencedRead(long readAtMillis, long sentAtMillis) {
    lastReadAtMillis = Math.max(lastReadAtMillis, readAtMillis);
    extend(sentAtMillis);
  }

  /**
   * Restarts the wait for the holder's records after a log outage, during which its silence means
   * nothing.
   */
  public void onLogRecovered(long nowMillis) {
    lastReadAtMillis = Math.max(lastReadAtMillis, nowMillis);
  }

  /** Applies the release of the lease by its holder. */
  public void onReleasedRead() {
    isReleased = true;
    isOwnClaim = false;
    holderStopsAtMillis = Long.MIN_VALUE;
  }

  /** Returns the epoch of the newest valid claim; zero if there is none. */
  public long epoch() {
    return epoch;
  }

  /** Returns whether this node may act as holder now. */
  public boolean mayAct(long nowMillis) {
    return isOwnClaim && nowMillis < holderStopsAtMillis;
  }

  /** Returns whether the newest claim is this node's, expired or not. */
  public boolean isOwn() {
    return isOwnClaim;
  }

  /**
   * Returns whether a claim of the next epoch is allowed now.
   *
   * @param extraWaitMillis additional wait of this node according to its rank among the candidates
   */
  public boolean mayClaim(long nowMillis, long extraWaitMillis) {
    if (isOwnClaim) {
      return false;
    }
    if (epoch == 0 || isReleased) {
      return nowMillis >= lastReadAtMillis + extraWaitMillis;
    }
    return nowMillis >= timing.claimableAt(lastReadAtMillis) + extraWaitMillis;
  }
}
