package org.passhaven.soak.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Draws which back ends answer without end, and when, apart from the rest of a seed's plan. */
final class EndlessAnswerPlan {
  private static final long MIN_MILLIS = 3_000;
  private static final long MAX_MILLIS = 8_000;

  /** Shorter than most spans, so that at times two back ends answer without end. */
  private static final long EVERY_MILLIS = 5_000;

  private EndlessAnswerPlan() {}

  static List<Fault> endlessAnswers(
      long seed, int backEndCount, long fromMillis, long untilMillis) {
    Random drawing = new Random(seed * 61 + 29);
    List<Fault> faults = new ArrayList<>();
    for (long atMillis = fromMillis; atMillis < untilMillis; atMillis += EVERY_MILLIS) {
      long forMillis = MIN_MILLIS + drawing.nextInt((int) (MAX_MILLIS - MIN_MILLIS));
      faults.add(
          new Fault.OnBackEnd(
              atMillis, forMillis, BackEndHarm.ENDLESS, drawing.nextInt(backEndCount)));
    }
    return faults;
  }
}
