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
final class EventIntervalTracker {
  /** A server makes hundreds of events a second: few of them say little. */
  private static final double MIN_WEIGHT = 0.03;

  private static final long MAX_SAMPLE_AGE_MILLIS = 4_000;
  private static final int MIN_SAMPLES = 8;

  /**
   * Number of spans: together they are longer than a momentary slowness, so that one is free of it.
   */
  private static final int BUCKETS = 5;

  /** Length of a span. */
  private static final long BUCKET_MILLIS = 300;

  /** Samples that a span needs to count. */
  private static final int MIN_BUCKET_SAMPLES = 3;

  private final Map<ServerStart, Statistics> statisticsByServer = new HashMap<>();

  /** Sum and number of the pauses in one span of time. */
  private static final class Bucket {
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

  private static final class Statistics {
    double recentMeanMillis;
    int samples;
    long lastSampleAtMillis;
    final Bucket[] buckets = new Bucket[BUCKETS];

    Statistics() {
      for (int i = 0; i < BUCKETS; i++) {
        buckets[i] = new Bucket();
      }
    }

    /** The smallest mean of the last spans; {@code orElse} if none has enough samples. */
    double sustainedMillis(double orElse) {
      long newest = lastSampleAtMillis / BUCKET_MILLIS;
      double least = Double.MAX_VALUE;
      for (Bucket span : buckets) {
        if (newest - span.number < BUCKETS && span.samples >= MIN_BUCKET_SAMPLES) {
          least = Math.min(least, span.meanMillis());
        }
      }
      return least == Double.MAX_VALUE ? orElse : least;
    }
  }

  void onInterval(ServerStart server, long pauseMillis, long nowMillis) {
    Statistics pace = statisticsByServer.computeIfAbsent(server, name -> new Statistics());
    if (pace.samples == 0 || nowMillis - pace.lastSampleAtMillis > MAX_SAMPLE_AGE_MILLIS) {
      pace.samples = 0;
    }
    pace.samples++;
    double weight = Math.max(MIN_WEIGHT, 1.0 / pace.samples);
    pace.recentMeanMillis += weight * (pauseMillis - pace.recentMeanMillis);
    pace.lastSampleAtMillis = nowMillis;
    long span = nowMillis / BUCKET_MILLIS;
    pace.buckets[(int) Math.floorMod(span, (long) BUCKETS)].add(span, pauseMillis);
  }

  /** Pause between two events at a server in the last moment; zero if it is not known. */
  double recentMillis(ServerStart server, long nowMillis) {
    Statistics pace = statisticsByServer.get(server);
    boolean trusted =
        pace != null
            && pace.samples >= MIN_SAMPLES
            && nowMillis - pace.lastSampleAtMillis <= MAX_SAMPLE_AGE_MILLIS;
    return trusted ? pace.recentMeanMillis : 0;
  }

  /** Pause between two events at a server that lasts; zero if it is not known. */
  double sustainedMillis(ServerStart server, long nowMillis) {
    double moment = recentMillis(server, nowMillis);
    return moment == 0
        ? 0
        : Math.min(moment, statisticsByServer.get(server).sustainedMillis(moment));
  }

  void retain(Collection<ServerStart> servers) {
    statisticsByServer.keySet().retainAll(servers);
  }
}
