package org.passhaven.core.admission;

import org.passhaven.core.request.RateMeter;

/**
 * Share of the recently received requests that were sent. Times in monotonic milliseconds. Not
 * thread-safe.
 */
final class ServedShare {
  private final RateMeter came;
  private final RateMeter sent;

  ServedShare(long nowMillis) {
    this.came = new RateMeter(nowMillis);
    this.sent = new RateMeter(nowMillis);
  }

  /** A request has arrived. */
  void onCame(long nowMillis) {
    came.mark(nowMillis);
  }

  /** A request was sent. */
  void onSent(long nowMillis) {
    sent.mark(nowMillis);
  }

  /** The present share, from zero to one; one if no request has arrived lately. */
  double now(long nowMillis) {
    double perSecond = came.perSecond(nowMillis);
    return perSecond > 0 ? Math.min(1, sent.perSecond(nowMillis) / perSecond) : 1;
  }
}
