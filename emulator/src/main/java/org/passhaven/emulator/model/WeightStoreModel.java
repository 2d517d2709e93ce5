package org.passhaven.emulator.model;

/**
 * The rate-limited weight store: copies of a version go out one after the other at the store's
 * rate. Thread-safe.
 */
public final class WeightStoreModel {
  private final long copyMillis;
  private long busyUntilMillis;
  private boolean down;

  /** Creates a store that takes {@code copyMillis} for one copy at its full rate. */
  public WeightStoreModel(long copyMillis) {
    this.copyMillis = copyMillis;
  }

  /** Begins to send a copy; gives the time at which it is whole. */
  public synchronized long download(long nowMillis) {
    busyUntilMillis = Math.max(busyUntilMillis, nowMillis) + copyMillis;
    return busyUntilMillis;
  }

  /** Whether it sends anything now. */
  public synchronized boolean isDown() {
    return down;
  }

  /** Takes the store down or up. */
  public synchronized void setDown(boolean isDown) {
    down = isDown;
  }
}
