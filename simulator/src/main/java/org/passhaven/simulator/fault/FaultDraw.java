package org.passhaven.simulator.fault;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Draws faults from a seed; about half of them overlap the one before, so that pairs and repeats
 * come up.
 */
public final class FaultDraw {
  private static final List<FaultKind> KINDS = List.of(FaultKind.values());
  private static final long FIRST_MILLIS = 4_000;
  private static final long LAST_MILLIS = 100_000;
  private static final long LONGEST_MILLIS = 20_000;
  private static final long OVERLAP_MILLIS = 3_000;
  private static final long SEED_MIX = 0x9E3779B97F4A7C15L;
  private static final double MOST_PROBABILITY = 0.5;
  private static final int MOST_LATE_MILLIS = 1_500;
  private static final int MOST_DRIFT = 20_000;
  private static final int MOST_TARGET = 1_000;

  private FaultDraw() {}

  /** Faults of a seed, by time. */
  public static List<Fault> draw(long seed, int count) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * SEED_MIX + 1);
    List<Fault> faults = new ArrayList<>();
    long at = FIRST_MILLIS;
    for (int i = 0; i < count; i++) {
      boolean overlaps = i > 0 && random.nextBoolean();
      at =
          overlaps
              ? at + random.nextLong(OVERLAP_MILLIS)
              : FIRST_MILLIS + random.nextLong(LAST_MILLIS - FIRST_MILLIS);
      faults.add(draw(random, at));
    }
    faults.sort(Comparator.comparingLong(Fault::atMillis));
    return faults;
  }

  private static Fault draw(UniformRandomProvider random, long at) {
    FaultKind kind = KINDS.get(random.nextInt(KINDS.size()));
    long duration = 100 + random.nextLong(LONGEST_MILLIS);
    double value =
        switch (kind) {
          case LOG_SLOW, MESSAGE_DELAY -> random.nextInt(MOST_LATE_MILLIS);
          case CLOCK_DRIFT -> random.nextInt(MOST_DRIFT);
          case SERVER_LEAVE -> random.nextInt(2);
          default -> random.nextDouble() * MOST_PROBABILITY;
        };
    return new Fault(at, kind, random.nextInt(MOST_TARGET), duration, value);
  }
}
