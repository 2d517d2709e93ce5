package org.passhaven.core.job;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.passhaven.core.backend.ServerStart;

/**
 * Speed of servers, by the pauses between events as this node sees them, on two time scales. A
 * server that shares its machine may be slow for a moment, and moving a generation does not pay off
 * then; a server that is slow on the longer scale stays slow. Times in monotonic milliseconds. Not
 * thread-safe.
 */
final class ServerPace {
  /** A server makes hundreds of events a second: few of them say little. */
  private static final double MIN_WEIGHT = 0.03;

  private static final long TRUSTED_MILLIS = 4_000;
  private static final int SAMPLES_NEEDED = 8;

  /**
   * Number of spans: together they are longer than a momentary slowness, so that one is free of it.
   */
  private static final int SPANS = 5;

  /** Length of a span. */
  private static final long SPAN_MILLIS = 300;

  /** Samples that a span needs to count. */
  private static final int SPAN_SAMPLES_NEEDED = 3;

  private final Map<ServerStart, Seen> seen = new HashMap<>();

  /** Sum and number of the pauses in one span of time. */
  private static final class Span {
    long number = Long.MIN_VALUE;
    double sumMillis;
    int samples;

    void add(long spanNumber, long pauseMillis) {
      if (number != spanNumber) {
        number = spanNumber;
        sumMillis = 0;
        samples = 0;
      }
      sumMillis += pauseMillis;
      samples++;
    }

    double meanMillis() {
      return sumMillis / samples;
    }
  }

  private static final class Seen {
    double pauseMillis;
    int samples;
    long at;
    final Span[] spans = new Span[SPANS];

    Seen() {
      for (int i = 0; i < SPANS; i++) {
        spans[i] = new Span();
      }
    }

    /** The smallest mean of the last spans; {@code orElse} if none has enough samples. */
    double lastingMillis(double orElse) {
      long newest = at / SPAN_MILLIS;
      double least = Double.MAX_VALUE;
      for (Span span : spans) {
        if (newest - span.number < SPANS && span.samples >= SPAN_SAMPLES_NEEDED) {
          least = Math.min(least, span.meanMillis());
        }
      }
      return least == Double.MAX_VALUE ? orElse : least;
    }
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
    long span = nowMillis / SPAN_MILLIS;
    pace.spans[(int) Math.floorMod(span, (long) SPANS)].add(span, pauseMillis);
  }

  /** Pause between two events at a server in the last moment; zero if it is not known. */
  double momentMillis(ServerStart server, long nowMillis) {
    Seen pace = seen.get(server);
    boolean trusted =
        pace != null && pace.samples >= SAMPLES_NEEDED && nowMillis - pace.at <= TRUSTED_MILLIS;
    return trusted ? pace.pauseMillis : 0;
  }

  /** Pause between two events at a server that lasts; zero if it is not known. */
  double lastingMillis(ServerStart server, long nowMillis) {
    double moment = momentMillis(server, nowMillis);
    return moment == 0 ? 0 : Math.min(moment, seen.get(server).lastingMillis(moment));
  }

  void retain(Collection<ServerStart> servers) {
    seen.keySet().retainAll(servers);
  }
}
