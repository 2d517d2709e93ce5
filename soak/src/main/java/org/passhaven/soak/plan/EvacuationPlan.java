package org.passhaven.soak.plan;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Draws which zones are evacuated, one after the other, apart from the rest of a seed's plan. */
final class EvacuationPlan {
  /** Longer than the bound, so that some time binds. */
  private static final long MIN_MILLIS = 8_000;

  private static final long MAX_MILLIS = 11_000;

  /** Traffic returns to the zone before the next evacuation. */
  private static final long MIN_PAUSE_MILLIS = 3_000;

  private static final long MAX_PAUSE_MILLIS = 5_000;

  private EvacuationPlan() {}

  static List<Fault> evacuations(long seed, int nodeCount, long fromMillis, long untilMillis) {
    UniformRandomProvider drawing = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 47 + 17);
    List<Fault> faults = new ArrayList<>();
    long atMillis = fromMillis;
    while (atMillis < untilMillis) {
      long forMillis = between(drawing, MIN_MILLIS, MAX_MILLIS);
      faults.add(new Fault.Evacuation(atMillis, forMillis, drawing.nextInt(nodeCount)));
      atMillis += forMillis + between(drawing, MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS);
    }
    return faults;
  }

  private static long between(UniformRandomProvider drawing, long min, long max) {
    return min + drawing.nextLong(max - min + 1);
  }
}
