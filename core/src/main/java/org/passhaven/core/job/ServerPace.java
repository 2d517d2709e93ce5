package org.passhaven.core.job;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * How fast servers generate, by the pauses between events as this node sees them, relative to the
 * middle one. Times in monotonic milliseconds. Not thread-safe.
 */
final class ServerPace {
  private static final double WEIGHT = 0.25;
  private static final long TRUSTED_MILLIS = 4_000;
  private static final int SAMPLES_NEEDED = 3;
  private static final double MOST = 10;
  private final Map<String, Seen> seen = new HashMap<>();

  private static final class Seen {
    double pauseMillis;
    int samples;
    long at;
  }

  void onPause(String server, long pauseMillis, long nowMillis) {
    Seen pace = seen.computeIfAbsent(server, name -> new Seen());
    if (pace.samples == 0 || nowMillis - pace.at > TRUSTED_MILLIS) {
      pace.pauseMillis = pauseMillis;
      pace.samples = 0;
    }
    pace.pauseMillis += WEIGHT * (pauseMillis - pace.pauseMillis);
    pace.samples++;
    pace.at = nowMillis;
  }

  /** How many times as long as the middle server a server takes; one if that is not known. */
  double ratio(String server, Collection<String> servers, long nowMillis) {
    double own = known(server, nowMillis);
    double[] all =
        servers.stream().mapToDouble(name -> known(name, nowMillis)).filter(p -> p > 0).toArray();
    if (own <= 0 || all.length < 2) {
      return 1;
    }
    java.util.Arrays.sort(all);
    double middle = all[(all.length - 1) / 2];
    return Math.min(MOST, Math.max(1, own / Math.max(1, middle)));
  }

  private double known(String server, long nowMillis) {
    Seen pace = seen.get(server);
    boolean trusted =
        pace != null && pace.samples >= SAMPLES_NEEDED && nowMillis - pace.at <= TRUSTED_MILLIS;
    return trusted ? pace.pauseMillis : 0;
  }

  void retain(Collection<String> servers) {
    seen.keySet().retainAll(servers);
  }
}
