package org.passhaven.core.job;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.passhaven.core.backend.ServerIncarnation;

/**
 * Measures the intervals between the events of a text at each server on two time scales: a recent
 * mean, and a sustained value that ignores transient slowness, as of a server that shares its
 * machine. Moving a generation pays off only if a server is slow for a sustained time. Times are in
 * monotonic milliseconds. Not thread-safe.
 */
final class EventIntervalTracker {
  /**
   * Minimum weight of a sample in the recent mean. Low, since a server makes hundreds of events a
   * second and a few of them say little.
   */
  private static final double MIN_WEIGHT = 0.03;

  private static final long MAX_SAMPLE_AGE_MILLIS = 4_000;
  private static final int MIN_SAMPLES = 8;

  /**
   * Number of time buckets, which together span more than a transient slowdown, so that at least
   * one is free of it.
   */
  private static final int BUCKETS = 5;

  private static final long BUCKET_MILLIS = 300;

  /** Minimum number of samples in a bucket for its mean to be used. */
  private static final int MIN_BUCKET_SAMPLES = 3;

  private final Map<ServerIncarnation, Statistics> statisticsByServer = new HashMap<>();

  /** Sum and number of the intervals in one time bucket. */
  private static final class Bucket {
    long number = Long.MIN_VALUE;
    double sumMillis;
    int samples;

    void add(long bucketNumber, long intervalMillis) {
      if (number != bucketNumber) {
        number = bucketNumber;
        sumMillis = 0;
        samples = 0;
      }
      sumMillis += intervalMillis;
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

    /** Returns the smallest mean of the last buckets; {@code orElse} if none has enough samples. */
    double sustainedMillis(double orElse) {
      long newest = lastSampleAtMillis / BUCKET_MILLIS;
      double minimum = Double.MAX_VALUE;
      for (Bucket bucket : buckets) {
        if (newest - bucket.number < BUCKETS && bucket.samples >= MIN_BUCKET_SAMPLES) {
          minimum = Math.min(minimum, bucket.meanMillis());
        }
      }
      return minimum == Double.MAX_VALUE ? orElse : minimum;
    }
  }

  void onInterval(ServerIncarnation server, long intervalMillis, long nowMillis) {
    Statistics statistics = statisticsByServer.computeIfAbsent(server, key -> new Statistics());
    if (statistics.samples == 0
        || nowMillis - statistics.lastSampleAtMillis > MAX_SAMPLE_AGE_MILLIS) {
      statistics.samples = 0;
    }
    statistics.samples++;
    double weight = Math.max(MIN_WEIGHT, 1.0 / statistics.samples);
    statistics.recentMeanMillis += weight * (intervalMillis - statistics.recentMeanMillis);
    statistics.lastSampleAtMillis = nowMillis;
    long bucket = nowMillis / BUCKET_MILLIS;
    statistics.buckets[(int) Math.floorMod(bucket, (long) BUCKETS)].add(bucket, intervalMillis);
  }

  /** Returns the recent mean interval between events of a server; zero if it is unknown. */
  double recentMillis(ServerIncarnation server, long nowMillis) {
    Statistics statistics = statisticsByServer.get(server);
    boolean isReliable =
        statistics != null
            && statistics.samples >= MIN_SAMPLES
            && nowMillis - statistics.lastSampleAtMillis <= MAX_SAMPLE_AGE_MILLIS;
    return isReliable ? statistics.recentMeanMillis : 0;
  }

  /** Returns the sustained interval between events of a server; zero if it is unknown. */
  double sustainedMillis(ServerIncarnation server, long nowMillis) {
    double recent = recentMillis(server, nowMillis);
    return recent == 0
        ? 0
        : Math.min(recent, statisticsByServer.get(server).sustainedMillis(recent));
  }

  void retain(Collection<ServerIncarnation> servers) {
    statisticsByServer.keySet().retainAll(servers);
  }
}
