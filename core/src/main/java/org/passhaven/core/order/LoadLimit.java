package org.passhaven.core.order;

/**
 * How many servers of a service load weights at a time. Those that load take nothing new meanwhile,
 * and too many of them slow each other; too few, and the last server of a large service gets a
 * version only when it is old.
 *
 * @param minAtOnce servers that may always load, at least 1
 * @param shareAtOnce part of the service's servers that may load, from 0 to 1
 */
public record LoadLimit(int minAtOnce, double shareAtOnce) {
  public LoadLimit {
    if (minAtOnce < 1) {
      throw new IllegalArgumentException("minAtOnce must be at least 1, not " + minAtOnce);
    }
    if (!(shareAtOnce >= 0 && shareAtOnce <= 1)) {
      throw new IllegalArgumentException("shareAtOnce must be from 0 to 1, not " + shareAtOnce);
    }
  }

  /** Servers that may load at a time in a service of {@code servers}. */
  public int of(long servers) {
    return (int) Math.max(minAtOnce, Math.floor(servers * shareAtOnce));
  }
}
