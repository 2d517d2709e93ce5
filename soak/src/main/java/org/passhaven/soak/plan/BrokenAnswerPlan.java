package org.passhaven.soak.plan;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Draws when and how much the back ends harm their answers, apart from the rest of a plan. */
final class BrokenAnswerPlan {
  private static final long MIN_MILLIS = 3_000;
  private static final long MAX_MILLIS = 7_000;
  private static final long MIN_PAUSE_MILLIS = 500;
  private static final long MAX_PAUSE_MILLIS = 2_000;
  private static final int MIN_BROKEN_PERMILLE = 100;
  private static final int MAX_BROKEN_PERMILLE = 500;
  private static final int MIN_ODD_PERMILLE = 50;
  private static final int MAX_ODD_PERMILLE = 300;

  private BrokenAnswerPlan() {}

  static List<Fault> brokenAnswers(long seed, long fromMillis, long untilMillis) {
    UniformRandomProvider drawing = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 67 + 31);
    List<Fault> faults = new ArrayList<>();
    long atMillis = fromMillis;
    while (atMillis < untilMillis) {
      long forMillis = between(drawing, MIN_MILLIS, MAX_MILLIS);
      faults.add(
          new Fault.BrokenAnswers(
              atMillis,
              forMillis,
              (int) between(drawing, MIN_BROKEN_PERMILLE, MAX_BROKEN_PERMILLE),
              (int) between(drawing, MIN_ODD_PERMILLE, MAX_ODD_PERMILLE)));
      atMillis += forMillis + between(drawing, MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS);
    }
    return faults;
  }

  private static long between(UniformRandomProvider drawing, long min, long max) {
    return min + drawing.nextLong(max - min + 1);
  }
}
