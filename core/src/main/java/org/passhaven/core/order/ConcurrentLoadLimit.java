package org.passhaven.core.order;

/**
 * Limit on the number of servers of a service that load weights concurrently. A server accepts no
 * new work while it loads, and concurrent loads slow each other down; with too few of them, the
 * last server of a large service gets a version late.
 *
 * @param minConcurrentLoads number of servers that may always load, at least 1
 * @param maxServerShare fraction of the service's servers that may load, from 0 to 1
 */
public record ConcurrentLoadLimit(int minConcurrentLoads, double maxServerShare) {
  public ConcurrentLoadLimit {
    if (minConcurrentLoads < 1) {
      throw new IllegalArgumentException(
          "minConcurrentLoads must be at least 1, not " + minConcurrentLoads);
    }
    if (!(maxServerShare >= 0 && maxServerShare <= 1)) {
      throw new IllegalArgumentException(
          "maxServerShare must be from 0 to 1, not " + maxServerShare);
    }
  }

  /**
   * Returns the number of servers that may load concurrently in a service of {@code servers}
   * servers.
   */
  public int maxConcurrentLoads(long servers) {
    return (int) Math.max(minConcurrentLoads, Math.floor(servers * maxServerShare));
  }
}
