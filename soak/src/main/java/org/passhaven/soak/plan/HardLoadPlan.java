package org.passhaven.soak.plan;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Draws servers that take longer than others, and callers that make it hard for the nodes. Drawn
 * apart, so that the rest of a plan is its seed's own.
 */
final class HardLoadPlan {
  /** Longest slowness that counts as a moment. */
  static final long MOMENT_MILLIS = 600;

  private static final double LEAST_FACTOR = 2;
  private static final double MOST_FACTOR = 6;
  private static final long LEAST_LONG_MILLIS = 8_000;
  private static final long MOST_LONG_MILLIS = 20_000;
  private static final long LEAST_PAUSE_MILLIS = 2_000;
  private static final long MOST_PAUSE_MILLIS = 7_000;
  private static final int LONG_ONE_IN = 3;

  // Readers that stop do so for 10 s, and read on or are dropped.
  private static final long SLOW_READERS_MILLIS = 13_000;
  private static final long LEAST_FLOOD_MILLIS = 3_000;
  private static final long MOST_FLOOD_MILLIS = 5_000;
  private static final long CALM_BETWEEN_MILLIS = 3_000;

  private HardLoadPlan() {}

  /** Back ends that take two to six times as long, some for moments and some for long. */
  static List<Fault> uneven(long seed, int backEndCount, long fromMillis, long untilMillis) {
    UniformRandomProvider drawing = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 41 + 7);
    List<Fault> faults = new ArrayList<>();
    for (long atMillis = fromMillis;
        atMillis < untilMillis;
        atMillis += between(drawing, LEAST_PAUSE_MILLIS, MOST_PAUSE_MILLIS)) {
      boolean isLong = drawing.nextInt(LONG_ONE_IN) == 0;
      long forMillis =
          isLong ? between(drawing, LEAST_LONG_MILLIS, MOST_LONG_MILLIS) : MOMENT_MILLIS;
      double factor = LEAST_FACTOR + (MOST_FACTOR - LEAST_FACTOR) * drawing.nextDouble();
      faults.add(
          new Fault.UnevenBackEnd(atMillis, forMillis, drawing.nextInt(backEndCount), factor));
    }
    return faults;
  }

  /** Slow readers and floods in turn, the first of them drawn. */
  static List<Fault> callers(long seed, long fromMillis, long untilMillis) {
    UniformRandomProvider drawing = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 43 + 13);
    List<Fault> faults = new ArrayList<>();
    boolean isFlood = drawing.nextBoolean();
    long atMillis = fromMillis;
    while (atMillis < untilMillis) {
      long forMillis =
          isFlood ? between(drawing, LEAST_FLOOD_MILLIS, MOST_FLOOD_MILLIS) : SLOW_READERS_MILLIS;
      CallerHarm harm = isFlood ? CallerHarm.TENANT_FLOOD : CallerHarm.SLOW_READERS;
      faults.add(new Fault.OnCallers(atMillis, forMillis, harm));
      atMillis += forMillis + CALM_BETWEEN_MILLIS;
      isFlood = !isFlood;
    }
    return faults;
  }

  private static long between(UniformRandomProvider drawing, long least, long most) {
    return least + drawing.nextLong(most - least + 1);
  }
}
