package org.passhaven.emulator.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.passhaven.emulator.model.TokenOracle;
import org.passhaven.protocol.Sample;
import org.passhaven.protocol.Segment;
import org.passhaven.protocol.ServerId;

/**
 * Counts every broken promise from what trainers, callers, engines and servers saw. Thread-safe,
 * since stand-ins of one process may run on several event loops.
 */
public final class Checker {
  private static final int LATENCY_DIGITS = 3;
  private static final double HIGH_PERCENTILE = 99;
  private static final double MEDIAN = 50;
  private static final double MICROS_PER_MILLI = 1_000.0;

  /** A request's path is run at most once if it holds this mark. */
  public static final String ONCE_MARK = "/once/";

  /** What a caller was told. */
  public enum Told {
    ANSWERED,
    REFUSED_NOT_RUN,
    OUTCOME_UNKNOWN
  }

  private record SlotKey(String trainer, long step, int prompt, int sample) {}

  private final Set<SlotKey> received = new HashSet<>();
  private final Map<String, Integer> runs = new HashMap<>();
  private final Map<String, Integer> sends = new HashMap<>();
  private final Map<String, Integer> refused = new HashMap<>();
  private final Map<String, Long> highestRevision = new TreeMap<>();
  private final Histogram lookups = new Histogram(LATENCY_DIGITS);
  private final Histogram inForce = new Histogram(LATENCY_DIGITS);
  private long delivered;
  private long duplicated;
  private long overBound;
  private long misversioned;
  private long expected;
  private long stalenessSum;
  private long stalenessMax;
  private long deliveredTokens;
  private long answered;
  private long misanswered;
  private long refusedCount;
  private long unknownCount;
  private long lookupsRefused;
  private long streamsCut;
  private long workAfterLeave;
  private long revisionReverts;

  /** A trainer submitted a step of {@code samples}. */
  public synchronized void onStepWanted(int samples) {
    expected += samples;
  }

  /** A trainer kept a sample. */
  public synchronized void onSample(
      String trainer,
      long step,
      Sample sample,
      String prompt,
      long seed,
      long trainerVersion,
      int bound) {
    if (!received.add(new SlotKey(trainer, step, sample.promptIndex(), sample.sampleIndex()))) {
      duplicated++;
      return;
    }
    delivered++;
    long staleness = trainerVersion - sample.oldestVersion();
    stalenessSum += staleness;
    stalenessMax = Math.max(stalenessMax, staleness);
    deliveredTokens += sample.tokenCount();
    if (staleness > bound) {
      overBound++;
    }
    if (!isTruthful(sample, prompt, seed)) {
      misversioned++;
    }
  }

  private static boolean isTruthful(Sample sample, String prompt, long seed) {
    long promptHash = TokenOracle.hash(prompt);
    int place = 0;
    for (Segment segment : sample.segments()) {
      for (int token : segment.tokens()) {
        if (token != TokenOracle.token(promptHash, seed, segment.version(), place)) {
          return false;
        }
        place++;
      }
    }
    return place == TokenOracle.length(prompt, seed);
  }

  /** A server ran a request. */
  public synchronized void onRequestRun(String path, ServerId server) {
    if (path.contains(ONCE_MARK) || path.contains("nonce=")) {
      runs.merge(path, 1, Integer::sum);
    }
  }

  /**
   * A caller got its final word on a request.
   *
   * @param isOwnAnswer whether an answer is whole and to this very request
   */
  public synchronized void onRequestTold(String path, Told told, boolean isOwnAnswer, long micros) {
    switch (told) {
      case ANSWERED -> {
        answered++;
        if (!isOwnAnswer) {
          misanswered++;
        }
        if (!path.contains(ONCE_MARK)) {
          lookups.recordValue(micros);
        }
      }
      case REFUSED_NOT_RUN -> {
        refusedCount++;
        refused.merge(path, 1, Integer::sum);
        if (!path.contains(ONCE_MARK)) {
          lookupsRefused++;
        }
      }
      case OUTCOME_UNKNOWN -> unknownCount++;
    }
  }

  /** A caller sends a request, maybe again under its key. */
  public synchronized void onRequestSent(String path) {
    sends.merge(path, 1, Integer::sum);
  }

  /** A stream in progress was cut by a planned stop. */
  public synchronized void onStreamCut() {
    streamsCut++;
  }

  /** A back end got new work too long after it began to leave. */
  public synchronized void onWorkAfterLeave() {
    workAfterLeave++;
  }

  /** A node said which revision is in force. */
  public synchronized void onRevision(String node, long revision) {
    Long highest = highestRevision.get(node);
    if (highest != null && revision < highest) {
      revisionReverts++;
    }
    highestRevision.merge(node, revision, Math::max);
  }

  /** An accepted configuration was in force at every live node after so long. */
  public synchronized void onInForceEverywhere(long millis) {
    inForce.recordValue(millis);
  }

  /** Samples that trainers kept so far. */
  public synchronized long delivered() {
    return delivered;
  }

  /** What was seen so far. */
  public synchronized Findings findings() {
    long rerun =
        runs.entrySet().stream()
            .filter(e -> e.getKey().contains(ONCE_MARK) && e.getValue() > 1)
            .count();
    // Each send ran at most once, so more runs than sends without a refusal mean that a refused one
    // ran.
    long refusedButRun =
        refused.entrySet().stream()
            .filter(
                e ->
                    runs.getOrDefault(e.getKey(), 0)
                        > sends.getOrDefault(e.getKey(), 0) - e.getValue())
            .count();
    return new Findings(
        delivered,
        expected - delivered,
        duplicated,
        overBound,
        misversioned,
        answered,
        misanswered,
        rerun,
        refusedButRun,
        streamsCut,
        workAfterLeave,
        revisionReverts,
        refusedCount,
        unknownCount,
        lookupsRefused,
        delivered == 0 ? 0 : stalenessSum / (double) delivered,
        stalenessMax,
        lookups.getValueAtPercentile(MEDIAN) / MICROS_PER_MILLI,
        lookups.getValueAtPercentile(HIGH_PERCENTILE) / MICROS_PER_MILLI,
        deliveredTokens,
        inForce.getMaxValue());
  }
}
