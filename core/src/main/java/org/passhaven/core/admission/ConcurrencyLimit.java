package org.passhaven.core.admission;

/**
 * Most requests that this node has at a service's servers at once, adapted by additive increase and
 * multiplicative decrease. It starts at all places and one more for each server; the latter are
 * given up while answers show that requests queue there. Only refusals by full servers take it
 * below the places: slow answers may as well mean slow servers, which need all their places. It
 * rises again with each answer. Times in monotonic milliseconds. Not thread-safe.
 */
final class ConcurrencyLimit {
  /**
   * Answers that take more than this many times the shortest one show a queue at the servers: they
   * have waited for at least one other request.
   */
  private static final double QUEUEING_RATIO = 2.0;

  /** Weight of the newest answer in the moving average of ratios. */
  private static final double RATIO_WEIGHT = 0.3;

  /** Factor by which a refusal by a full server lowers the limit. */
  private static final double DECREASE_FACTOR = 0.9;

  /** Shortest time between two decreases: refusals of one burst count once. */
  private static final long MIN_DECREASE_INTERVAL_MILLIS = 20;

  /** Time without signs of queueing after which the limit is reset to its maximum. */
  private static final long RESET_MILLIS = 1_000;

  /** Before any time that is given, with no overflow when subtracted. */
  private static final long LONG_AGO_MILLIS = Long.MIN_VALUE / 2;

  private int servers;
  private int places;
  private double limit;
  private double ratio = 1;
  private long decreasedAtMillis = LONG_AGO_MILLIS;
  private long queueingAtMillis = LONG_AGO_MILLIS;

  /** The number of servers, or of their places in all, has changed. */
  void onServers(int serverCount, int placeCount) {
    boolean wasOpen = limit >= ceiling();
    servers = serverCount;
    places = placeCount;
    limit = wasOpen ? ceiling() : clamp(limit);
  }

  /**
   * An answer has come.
   *
   * @param answerRatio time that it took, against the shortest of its kind
   * @param isInUse whether as many requests were under way as the limit allows
   */
  void onAnswer(double answerRatio, boolean isInUse, long nowMillis) {
    ratio += RATIO_WEIGHT * (answerRatio - ratio);
    boolean isQueueing = ratio > QUEUEING_RATIO;
    if (isQueueing) {
      queueingAtMillis = nowMillis;
    }
    double wanted = isInUse ? limit + 1 : limit;
    limit = Math.min(wanted, isQueueing ? places : ceiling());
  }

  /** A server refused a request since it is full. */
  void onFull(long nowMillis) {
    queueingAtMillis = nowMillis;
    if (nowMillis - decreasedAtMillis >= MIN_DECREASE_INTERVAL_MILLIS) {
      decreasedAtMillis = nowMillis;
      limit = clamp(limit * DECREASE_FACTOR);
    }
  }

  /** Requests that may be at the servers now. */
  int current(long nowMillis) {
    if (nowMillis - queueingAtMillis >= RESET_MILLIS) {
      limit = ceiling();
      ratio = 1;
    }
    return (int) limit;
  }

  /** Places of the servers. */
  int places() {
    return places;
  }

  /**
   * Lower bound of the limit, half of the places: while a node uses less than that, refusals are
   * due to other nodes' requests.
   */
  int floor() {
    return (places + 1) / 2;
  }

  /**
   * Upper bound of the limit: all places, and one more for each server so that none is idle while
   * an answer travels.
   */
  private int ceiling() {
    return places + servers;
  }

  private double clamp(double wanted) {
    return Math.max(floor(), Math.min(ceiling(), wanted));
  }
}
