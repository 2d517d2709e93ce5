package org.passhaven.core.admission;

import org.passhaven.core.request.RateMeter;

/**
 * Which share of the requests that lately came was sent. Times in monotonic milliseconds. Not
 * thread-safe.
 */
final class ServedShare {
  private final RateMeter came;
  private final RateMeter sent;

  ServedShare(long nowMillis) {
    this.came = new RateMeter(nowMillis);
    this.sent = new RateMeter(nowMillis);
  }

  void onCame(long nowMillis) {
    came.mark(nowMillis);
  }

  void onSent(long nowMillis) {
    sent.mark(nowMillis);
  }

  /** From zero to one; one where nothing came. */
  double now(long nowMillis) {
    double perSecond = came.perSecond(nowMillis);
    return perSecond > 0 ? Math.min(1, sent.perSecond(nowMillis) / perSecond) : 1;
  }
}
