package org.passhaven.soak.plan;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Draws when and how much the back ends stutter, apart from the rest of a seed's plan. */
final class SecondAnswerPlan {
  private static final long MIN_MILLIS = 4_000;
  private static final long MAX_MILLIS = 8_000;
  private static final long MIN_PAUSE_MILLIS = 500;
  private static final long MAX_PAUSE_MILLIS = 2_000;
  private static final int MIN_SECOND_PERMILLE = 300;
  private static final int MAX_SECOND_PERMILLE = 1_000;

  /** Second answers harm beside tries that are made again under the same id. */
  private static final int MIN_TRIED_AGAIN_PERMILLE = 100;

  /** More failures would use up the attempts of many items. */
  private static final int MAX_FAIL_PERMILLE = 300;

  /** So many refusals that some requests are refused by all servers until their deadline. */
  private static final int MAX_REFUSE_PERMILLE = 800;

  private SecondAnswerPlan() {}

  static List<Fault> secondAnswers(long seed, long fromMillis, long untilMillis) {
    UniformRandomProvider drawing = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 53 + 19);
    List<Fault> faults = new ArrayList<>();
    long atMillis = fromMillis;
    while (atMillis < untilMillis) {
      long forMillis = between(drawing, MIN_MILLIS, MAX_MILLIS);
      faults.add(
          new Fault.SecondAnswers(
              atMillis,
              forMillis,
              (int) between(drawing, MIN_SECOND_PERMILLE, MAX_SECOND_PERMILLE),
              (int) between(drawing, MIN_TRIED_AGAIN_PERMILLE, MAX_FAIL_PERMILLE),
              (int) between(drawing, MIN_TRIED_AGAIN_PERMILLE, MAX_REFUSE_PERMILLE)));
      atMillis += forMillis + between(drawing, MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS);
    }
    return faults;
  }

  private static long between(UniformRandomProvider drawing, long min, long max) {
    return min + drawing.nextLong(max - min + 1);
  }
}
