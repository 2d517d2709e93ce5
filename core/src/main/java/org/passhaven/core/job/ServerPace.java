package org.passhaven.core.job;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.passhaven.core.backend.ServerStart;

/**
 * How fast servers generate, by the pauses between events as this node sees them. Times in
 * monotonic milliseconds. Not thread-safe.
 */
final class ServerPace {
  /** A server makes hundreds of events a second: few of them say little. */
  private static final double MIN_WEIGHT = 0.03;

  private static final long TRUSTED_MILLIS = 4_000;
  private static final int SAMPLES_NEEDED = 8;
  private static final double UNKNOWN_PAUSE_MILLIS = 40;
  private final Map<ServerStart, Seen> seen = new HashMap<>();

  private static final class Seen {
    double pauseMillis;
    int samples;
    long at;
  }

  void onPause(ServerStart server, long pauseMillis, long nowMillis) {
    Seen pace = seen.computeIfAbsent(server, name -> new Seen());
    if (pace.samples == 0 || nowMillis - pace.at > TRUSTED_MILLIS) {
      pace.samples = 0;
    }
    pace.samples++;
    double weight = Math.max(MIN_WEIGHT, 1.0 / pace.samples);
    pace.pauseMillis += weight * (pauseMillis - pace.pauseMillis);
    pace.at = nowMillis;
  }

  /** Pause between two events at each server; the middle one's where it is not known. */
  Map<ServerStart, Double> pausesMillis(Collection<ServerStart> servers, long nowMillis) {
    double[] known =
        servers.stream().mapToDouble(name -> known(name, nowMillis)).filter(p -> p > 0).toArray();
    Arrays.sort(known);
    double middle = known.length == 0 ? UNKNOWN_PAUSE_MILLIS : known[(known.length - 1) / 2];
    Map<ServerStart, Double> pauses = new HashMap<>();
    for (ServerStart server : servers) {
      double own = known(server, nowMillis);
      pauses.put(server, own > 0 ? own : middle);
    }
    return pauses;
  }

  private double known(ServerStart server, long nowMillis) {
    Seen pace = seen.get(server);
    boolean trusted =
        pace != null && pace.samples >= SAMPLES_NEEDED && nowMillis - pace.at <= TRUSTED_MILLIS;
    return trusted ? pace.pauseMillis : 0;
  }

  void retain(Collection<ServerStart> servers) {
    seen.keySet().retainAll(servers);
  }
}
