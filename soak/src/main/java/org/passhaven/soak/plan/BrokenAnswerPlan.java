package org.passhaven.soak.plan;

import java.util.List;
import org.passhaven.soak.plan.FaultSeries.Range;

/** Draws when and how much the back ends harm their answers, apart from the rest of a plan. */
final class BrokenAnswerPlan {
  private static final Range LENGTH_MILLIS = new Range(3_000, 7_000);
  private static final Range BROKEN_PERMILLE = new Range(100, 500);
  private static final Range ODD_PERMILLE = new Range(50, 300);

  private BrokenAnswerPlan() {}

  static List<Fault> brokenAnswers(long seed, long fromMillis, long untilMillis) {
    return FaultSeries.draw(
        seed * 67 + 31,
        fromMillis,
        untilMillis,
        LENGTH_MILLIS,
        (atMillis, forMillis, drawing) ->
            new Fault.BrokenAnswers(
                atMillis,
                forMillis,
                BROKEN_PERMILLE.drawInt(drawing),
                ODD_PERMILLE.drawInt(drawing)));
  }
}
