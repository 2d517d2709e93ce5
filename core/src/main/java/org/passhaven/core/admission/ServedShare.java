package org.passhaven.core.admission;

import org.passhaven.core.request.RateMeter;

/**
 * Share of the recently arrived requests that were sent. Times are in monotonic milliseconds. Not
 * thread-safe.
 */
final class ServedShare {
  private final RateMeter arrived;
  private final RateMeter sent;

  ServedShare(long nowMillis) {
    this.arrived = new RateMeter(nowMillis);
    this.sent = new RateMeter(nowMillis);
  }

  /** Counts an arrived request. */
  void onArrived(long nowMillis) {
    arrived.recordEvent(nowMillis);
  }

  /** Counts a sent request. */
  void onSent(long nowMillis) {
    sent.recordEvent(nowMillis);
  }

  /** Returns the current share, from zero to one; one if no request has arrived recently. */
  double current(long nowMillis) {
    double perSecond = arrived.perSecond(nowMillis);
    return perSecond > 0 ? Math.min(1, sent.perSecond(nowMillis) / perSecond) : 1;
  }
}
