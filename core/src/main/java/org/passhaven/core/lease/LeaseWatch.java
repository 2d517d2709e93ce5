package org.passhaven.core.lease;

import java.util.Objects;

/**
 * One node's view in time of one lease: until when it may act as holder, and from when it may
 * claim. Fed by the records that it reads; keeps no clock of its own. Not thread-safe.
 */
public final class LeaseWatch {
  private final LeaseTerms terms;
  private long epoch;
  private boolean own;
  private boolean released;
  private long lastReadAtMillis;
  private long holderStopsAtMillis = Long.MIN_VALUE;

  /** What was sent until then says nothing of how long this node may act. */
  private long countsFromMillis = Long.MIN_VALUE;

  /** Creates a watch of a lease that nobody was seen to hold. */
  public LeaseWatch(LeaseTerms terms, long nowMillis) {
    this.terms = Objects.requireNonNull(terms, "terms");
    this.lastReadAtMillis = nowMillis;
  }

  /**
   * A valid claim was read.
   *
   * @param isOwn whether this start of this node made it; an earlier start counts as another holder
   * @param sentAtMillis when an own claim was first sent; ignored for others
   */
  public void onClaimRead(long newEpoch, boolean isOwn, long readAtMillis, long sentAtMillis) {
    epoch = newEpoch;
    own = isOwn;
    released = false;
    lastReadAtMillis = readAtMillis;
    holderStopsAtMillis = Long.MIN_VALUE;
    extend(sentAtMillis);
  }

  private void extend(long sentAtMillis) {
    if (own && sentAtMillis > countsFromMillis) {
      holderStopsAtMillis = Math.max(holderStopsAtMillis, terms.holderStopsAt(sentAtMillis));
    }
  }

  /**
   * The clocks have moved apart: the lease may have lapsed long ago. The holder acts again once a
   * record that it sends from now on was read.
   */
  public void onClockGap(long nowMillis) {
    holderStopsAtMillis = Long.MIN_VALUE;
    countsFromMillis = nowMillis;
  }

  /** A fenced record of the current epoch was read; it renews. */
  public void onFencedRead(long readAtMillis, long sentAtMillis) {
    lastReadAtMillis = Math.max(lastReadAtMillis, readAtMillis);
    extend(sentAtMillis);
  }

  /**
   * The log was down for long and can be read again: the holder's silence in between says nothing.
   */
  public void onLogBack(long nowMillis) {
    lastReadAtMillis = Math.max(lastReadAtMillis, nowMillis);
  }

  /** The holder gave the lease back. */
  public void onReleasedRead() {
    released = true;
    own = false;
    holderStopsAtMillis = Long.MIN_VALUE;
  }

  /** Epoch of the newest valid claim; zero before any. */
  public long epoch() {
    return epoch;
  }

  /** Whether this node may act as holder now. */
  public boolean mayAct(long nowMillis) {
    return own && nowMillis < holderStopsAtMillis;
  }

  /** Whether the newest claim is this node's, lapsed or not. */
  public boolean isOwn() {
    return own;
  }

  /**
   * Whether a claim of the next epoch is allowed now, after {@code extraWaitMillis} for lower
   * ranks.
   */
  public boolean mayClaim(long nowMillis, long extraWaitMillis) {
    if (own) {
      return false;
    }
    if (epoch == 0 || released) {
      return nowMillis >= lastReadAtMillis + extraWaitMillis;
    }
    return nowMillis >= terms.claimableAt(lastReadAtMillis) + extraWaitMillis;
  }
}
