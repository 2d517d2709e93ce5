package org.passhaven.soak.plan;

import java.util.List;
import org.passhaven.soak.plan.FaultSeries.Range;

/** Draws when and how much the back ends stutter, apart from the rest of a seed's plan. */
final class SecondAnswerPlan {
  private static final Range LENGTH_MILLIS = new Range(4_000, 8_000);
  private static final Range SECOND_PERMILLE = new Range(300, 1_000);

  /** Second answers harm beside tries that are made again under the same id. */
  private static final int MIN_TRIED_AGAIN_PERMILLE = 100;

  /** More failures would use up the attempts of many items. */
  private static final Range FAIL_PERMILLE = new Range(MIN_TRIED_AGAIN_PERMILLE, 300);

  /** So many refusals that some requests are refused by all servers until their deadline. */
  private static final Range REFUSE_PERMILLE = new Range(MIN_TRIED_AGAIN_PERMILLE, 800);

  private SecondAnswerPlan() {}

  static List<Fault> secondAnswers(long seed, long fromMillis, long untilMillis) {
    return FaultSeries.draw(
        seed * 53 + 19,
        fromMillis,
        untilMillis,
        LENGTH_MILLIS,
        (atMillis, forMillis, drawing) ->
            new Fault.SecondAnswers(
                atMillis,
                forMillis,
                SECOND_PERMILLE.drawInt(drawing),
                FAIL_PERMILLE.drawInt(drawing),
                REFUSE_PERMILLE.drawInt(drawing)));
  }
}
