package org.passhaven.soak.plan;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * Draws waves of crashes of model servers, apart from the rest of a seed's plan. The first series
 * is that of review case 2: three waves of four servers, the second while the items of the first
 * run again, the third when they would run for the third time. The waves lie further apart than in
 * the review, since real processes find a server that is back later. Later series have other
 * numbers and moments.
 */
public final class CrashWavePlan {
  /** Model servers that a run with crash waves has. */
  public static final int MODEL_SERVERS = 6;

  private static final long DOWN_MILLIS = 600;
  private static final List<Long> REVIEW_MILLIS = List.of(500L, 2_500L, 7_750L);
  private static final int REVIEW_SERVERS = 4;

  /** Leaves the steps of a series time to run out, of which each may take 12 s. */
  private static final long SERIES_MILLIS = 32_000;

  private static final int MIN_WAVES = 2;
  private static final int MAX_WAVES = 5;
  private static final int MIN_SERVERS = 2;
  private static final long MIN_GAP_MILLIS = 650;
  private static final long MAX_GAP_MILLIS = 4_600;

  private final Random drawing;
  private final List<Fault> faults = new ArrayList<>();

  private CrashWavePlan(long seed) {
    this.drawing = new Random(seed * 59 + 23);
  }

  /** Returns the waves of a run whose traffic ends at {@code untilMillis}. */
  static List<Fault> crashWaves(long seed, long untilMillis) {
    CrashWavePlan plan = new CrashWavePlan(seed);
    REVIEW_MILLIS.forEach(atMillis -> plan.addWave(atMillis, REVIEW_SERVERS));
    for (long atMillis = SERIES_MILLIS; atMillis < untilMillis; atMillis += SERIES_MILLIS) {
      plan.addSeries(atMillis);
    }
    return plan.faults;
  }

  private void addSeries(long fromMillis) {
    long atMillis = fromMillis;
    for (int left = between(MIN_WAVES, MAX_WAVES); left > 0; left--) {
      addWave(atMillis, between(MIN_SERVERS, MODEL_SERVERS));
      atMillis +=
          MIN_GAP_MILLIS + (long) (drawing.nextDouble() * (MAX_GAP_MILLIS - MIN_GAP_MILLIS));
    }
  }

  private void addWave(long atMillis, int count) {
    List<Integer> servers = new ArrayList<>(IntStream.range(0, MODEL_SERVERS).boxed().toList());
    Collections.shuffle(servers, drawing);
    faults.add(
        new Fault.CrashWave(
            atMillis, DOWN_MILLIS, servers.subList(0, count), drawing.nextBoolean()));
  }

  private int between(int min, int max) {
    return min + drawing.nextInt(max - min + 1);
  }
}
