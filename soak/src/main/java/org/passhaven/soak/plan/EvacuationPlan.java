package org.passhaven.soak.plan;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Draws which zones are evacuated, one after the other, and which servers start anew between, apart
 * from the rest of a seed's plan.
 */
final class EvacuationPlan {
  /** Longer than the bound, so that some time binds. */
  private static final long MIN_MILLIS = 8_000;

  private static final long MAX_MILLIS = 11_000;

  /** Traffic returns to the zone, and its servers warm up, before the next evacuation. */
  private static final long MIN_PAUSE_MILLIS = 6_000;

  private static final long MAX_PAUSE_MILLIS = 8_000;

  /** A server starts anew while those that have come back are cold. */
  private static final long RESTART_AFTER_MILLIS = 1_000;

  private static final long RESTART_MILLIS = 600;

  private EvacuationPlan() {}

  static List<Fault> evacuations(
      long seed, int nodeCount, int backEndCount, long fromMillis, long untilMillis) {
    UniformRandomProvider drawing = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 47 + 17);
    List<Fault> faults = new ArrayList<>();
    long atMillis = fromMillis;
    while (atMillis < untilMillis) {
      long forMillis = between(drawing, MIN_MILLIS, MAX_MILLIS);
      // Taken modulo the number of zones, of which there are at most as many as nodes.
      faults.add(new Fault.Evacuation(atMillis, forMillis, drawing.nextInt(nodeCount)));
      long restartMillis = atMillis + forMillis + RESTART_AFTER_MILLIS;
      int backEnd = drawing.nextInt(backEndCount);
      faults.add(new Fault.ColdRestart(restartMillis, RESTART_MILLIS, backEnd));
      atMillis += forMillis + between(drawing, MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS);
    }
    return faults;
  }

  private static long between(UniformRandomProvider drawing, long min, long max) {
    return min + drawing.nextLong(max - min + 1);
  }
}
