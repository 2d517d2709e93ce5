package org.passhaven.core.admission;

/**
 * Limit on this node's concurrent requests to a service's servers, adapted by additive increase and
 * multiplicative decrease. It starts at all slots plus one for each server; the extra ones are
 * withheld while response times show that requests queue at the servers. Only refusals by full
 * servers lower the limit below the number of slots: slow responses may just mean slow servers,
 * which need all their slots. The limit rises again with each response. Times are in monotonic
 * milliseconds. Not thread-safe.
 */
final class ConcurrencyLimit {
  /**
   * Responses that take more than this many times the shortest one show that requests queue at the
   * servers: such a request has waited for at least one other.
   */
  private static final double QUEUEING_RATIO = 2.0;

  /** Weight of the newest response in the moving average of ratios. */
  private static final double RATIO_WEIGHT = 0.3;

  /** Factor by which a refusal by a full server lowers the limit. */
  private static final double DECREASE_FACTOR = 0.9;

  /** Shortest time between two decreases: refusals of one burst count once. */
  private static final long MIN_DECREASE_INTERVAL_MILLIS = 20;

  /** Time without signs of queueing after which the limit is reset to its maximum. */
  private static final long RESET_MILLIS = 1_000;

  /** Earlier than any time that is passed in; can be subtracted without overflow. */
  private static final long DISTANT_PAST_MILLIS = Long.MIN_VALUE / 2;

  private int servers;
  private int slots;
  private double limit;
  private double ratio = 1;
  private long decreasedAtMillis = DISTANT_PAST_MILLIS;
  private long queueingAtMillis = DISTANT_PAST_MILLIS;

  /** Sets the number of servers and of their slots in total. */
  void onServers(int serverCount, int slotCount) {
    boolean wasOpen = limit >= ceiling();
    servers = serverCount;
    slots = slotCount;
    limit = wasOpen ? ceiling() : clamp(limit);
  }

  /**
   * Records a response.
   *
   * @param responseRatio its response time divided by the shortest one of the same route
   * @param isInUse whether as many requests were in flight as the limit allows
   */
  void onResponse(double responseRatio, boolean isInUse, long nowMillis) {
    ratio += RATIO_WEIGHT * (responseRatio - ratio);
    boolean isQueueing = ratio > QUEUEING_RATIO;
    if (isQueueing) {
      queueingAtMillis = nowMillis;
    }
    double wanted = isInUse ? limit + 1 : limit;
    limit = Math.min(wanted, isQueueing ? slots : ceiling());
  }

  /** Lowers the limit after a server has refused a request because it is full. */
  void onFull(long nowMillis) {
    queueingAtMillis = nowMillis;
    if (nowMillis - decreasedAtMillis >= MIN_DECREASE_INTERVAL_MILLIS) {
      decreasedAtMillis = nowMillis;
      limit = clamp(limit * DECREASE_FACTOR);
    }
  }

  /** Returns the number of requests that may be in flight now. */
  int current(long nowMillis) {
    if (nowMillis - queueingAtMillis >= RESET_MILLIS) {
      limit = ceiling();
      ratio = 1;
    }
    return (int) limit;
  }

  /** Returns the number of slots of all servers. */
  int slots() {
    return slots;
  }

  /**
   * Returns the lower bound of the limit, half of the slots: below it, refusals are caused by
   * requests of other nodes.
   */
  int floor() {
    return (slots + 1) / 2;
  }

  /**
   * Returns the upper bound of the limit: all slots, and one more for each server so that no slot
   * is idle while a response is in transit.
   */
  private int ceiling() {
    return slots + servers;
  }

  private double clamp(double wanted) {
    return Math.max(floor(), Math.min(ceiling(), wanted));
  }
}
