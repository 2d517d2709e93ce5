package org.passhaven.core.admission;

/**
 * How many requests this node has at a service's servers at most. It begins at all places and one
 * more at each server; the latter are given up while answers show that requests queue there. Only
 * refusals by full servers take it below the places: slow answers may as well mean slow servers,
 * which need all their places. It rises again with each answer. Times in monotonic milliseconds.
 * Not thread-safe.
 */
final class ConcurrencyLimit {
  /**
   * An answer that takes less than this many times the shortest waited behind less than one other
   * of its kind: the places are in use, as they should be, and no queue has formed.
   */
  private static final double QUEUEING_RATIO = 2.0;

  private static final double RATIO_WEIGHT = 0.3;

  /** What a refusal by a full server takes off. */
  private static final double FULL_DECREASE = 0.9;

  /** Shortest time between two decreases: what was sent before the first says nothing new. */
  private static final long MIN_ROUND_MILLIS = 20;

  /** Without signs of queueing for so long, all places count as free again. */
  private static final long CALM_MILLIS = 1_000;

  private int servers;
  private int places;
  private double limit;
  private double ratio = 1;
  private long decreasedAtMillis = Long.MIN_VALUE / 2;
  private long queueingAtMillis = Long.MIN_VALUE / 2;

  /** The service has so many servers now, with so many places in all. */
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
    if (nowMillis - decreasedAtMillis >= MIN_ROUND_MILLIS) {
      decreasedAtMillis = nowMillis;
      limit = clamp(limit * FULL_DECREASE);
    }
  }

  /** Requests that may be at the servers now. */
  int current(long nowMillis) {
    if (nowMillis - queueingAtMillis >= CALM_MILLIS) {
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
   * Half of the places: a node that has less than that there has no reason of its own to think that
   * they are taken, and needs no more in calm.
   */
  int floor() {
    return (places + 1) / 2;
  }

  /** All places, and one more at each server so that none is idle while an answer travels. */
  private int ceiling() {
    return places + servers;
  }

  private double clamp(double wanted) {
    return Math.max(floor(), Math.min(ceiling(), wanted));
  }
}
