package org.passhaven.core.scale;

import java.util.HashMap;
import java.util.Map;

/** Delays that double with each failure of the same key. Not thread-safe. */
public final class Backoff<K> {
  private record Delay(long untilMillis, long millis) {}

  private final long firstMillis;
  private final long maxMillis;
  private final Map<K, Delay> delays = new HashMap<>();

  /** Creates a back-off without failures. */
  public Backoff(long firstMillis, long maxMillis) {
    this.firstMillis = firstMillis;
    this.maxMillis = maxMillis;
  }

  /** Records a failure. */
  public void onFailed(K key, long nowMillis) {
    Delay before = delays.get(key);
    long millis = before == null ? firstMillis : Math.min(2 * before.millis(), maxMillis);
    delays.put(key, new Delay(nowMillis + millis, millis));
  }

  /** Forgets the failures of a key. */
  public void onSucceeded(K key) {
    delays.remove(key);
  }

  /** Returns whether the delay of a key has not passed yet. */
  public boolean isWaiting(K key, long nowMillis) {
    Delay delay = delays.get(key);
    return delay != null && nowMillis < delay.untilMillis();
  }

  /** Forgets all failures. */
  public void clear() {
    delays.clear();
  }
}
