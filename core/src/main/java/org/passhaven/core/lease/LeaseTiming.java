package org.passhaven.core.lease;

import java.time.Duration;
import java.util.Objects;

/**
 * Timing of a lease.
 *
 * <p>The holder stops at {@code sentAt + term - drift}, counted from before it sent the record that
 * renewed the lease. A successor waits {@code term + drift} after it has read that record, which is
 * later than the sending. Holder and successor therefore never overlap while clocks drift by less
 * than {@code drift} within a term.
 *
 * @param term duration of one renewal
 * @param drift bound on the drift of two monotonic clocks within one term
 * @param renewInterval time between renewals of an idle holder
 */
public record LeaseTiming(Duration term, Duration drift, Duration renewInterval) {
  public LeaseTiming {
    Objects.requireNonNull(term, "term");
    if (drift.multipliedBy(2).plus(renewInterval).compareTo(term) >= 0) {
      throw new IllegalArgumentException("term must exceed renewInterval plus twice drift");
    }
  }

  /** Returns the time at which the holder stops acting, in the holder's monotonic milliseconds. */
  public long holderStopsAt(long renewalSentAtMillis) {
    return renewalSentAtMillis + term.toMillis() - drift.toMillis();
  }

  /** Returns the time from which others may claim, in their own monotonic milliseconds. */
  public long claimableAt(long renewalReadAtMillis) {
    return renewalReadAtMillis + term.toMillis() + drift.toMillis();
  }
}
