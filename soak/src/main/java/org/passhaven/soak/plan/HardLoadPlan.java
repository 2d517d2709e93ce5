package org.passhaven.soak.plan;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Draws faults of uneven back ends and hard load by callers. They have generators of their own, so
 * that the other faults of a seed's plan stay the same.
 */
final class HardLoadPlan {
  /** Duration of a momentary slowness. */
  static final long MOMENT_MILLIS = 600;

  private static final double MIN_FACTOR = 2;
  private static final double MAX_FACTOR = 6;
  private static final long MIN_LONG_MILLIS = 8_000;
  private static final long MAX_LONG_MILLIS = 20_000;
  private static final long MIN_PAUSE_MILLIS = 2_000;
  private static final long MAX_PAUSE_MILLIS = 7_000;

  /** One slowness in so many is long. */
  private static final int LONG_ONE_IN = 3;

  /** Time for all slow readers to end: longer than their stalls. */
  private static final long SLOW_READERS_MILLIS = 13_000;

  private static final long MIN_FLOOD_MILLIS = 3_000;
  private static final long MAX_FLOOD_MILLIS = 5_000;

  /** Time without hard load between two of its spans. */
  private static final long CALM_BETWEEN_MILLIS = 3_000;

  private HardLoadPlan() {}

  /** Uneven back ends, some slow for a moment and some for longer. */
  static List<Fault> uneven(long seed, int backEndCount, long fromMillis, long untilMillis) {
    UniformRandomProvider drawing = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 41 + 7);
    List<Fault> faults = new ArrayList<>();
    for (long atMillis = fromMillis;
        atMillis < untilMillis;
        atMillis += between(drawing, MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS)) {
      boolean isLong = drawing.nextInt(LONG_ONE_IN) == 0;
      long forMillis = isLong ? between(drawing, MIN_LONG_MILLIS, MAX_LONG_MILLIS) : MOMENT_MILLIS;
      double factor = MIN_FACTOR + (MAX_FACTOR - MIN_FACTOR) * drawing.nextDouble();
      faults.add(
          new Fault.UnevenBackEnd(atMillis, forMillis, drawing.nextInt(backEndCount), factor));
    }
    return faults;
  }

  /** Slow readers and floods alternately; which is first is drawn. */
  static List<Fault> callers(long seed, long fromMillis, long untilMillis) {
    UniformRandomProvider drawing = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 43 + 13);
    List<Fault> faults = new ArrayList<>();
    boolean isFlood = drawing.nextBoolean();
    long atMillis = fromMillis;
    while (atMillis < untilMillis) {
      long forMillis =
          isFlood ? between(drawing, MIN_FLOOD_MILLIS, MAX_FLOOD_MILLIS) : SLOW_READERS_MILLIS;
      CallerHarm harm = isFlood ? CallerHarm.TENANT_FLOOD : CallerHarm.SLOW_READERS;
      faults.add(new Fault.OnCallers(atMillis, forMillis, harm));
      atMillis += forMillis + CALM_BETWEEN_MILLIS;
      isFlood = !isFlood;
    }
    return faults;
  }

  private static long between(UniformRandomProvider drawing, long min, long max) {
    return min + drawing.nextLong(max - min + 1);
  }
}
