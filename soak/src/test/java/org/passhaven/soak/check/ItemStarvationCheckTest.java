package org.passhaven.soak.check;

import org.junit.jupiter.api.Test;
import org.passhaven.platform.standin.history.NodeObservation.Happening;
import org.passhaven.platform.standin.history.NodeObservation.ProcessEvent;
import org.passhaven.platform.standin.history.OperatorObservation.VersionSent;
import org.passhaven.platform.standin.history.ServerObservation.RunEnd;
import org.passhaven.platform.standin.history.ServerObservation.RunEnded;
import org.passhaven.platform.standin.history.ServerObservation.ServerStarted;

/** Guards the judgement of review case 2: a step that runs out of time beside free servers. */
class ItemStarvationCheckTest {
  private static final long SENT_MILLIS = 10_000;
  private static final long DUE_MILLIS = 16_000;
  private static final long LATE_MILLIS = 40_000;

  private static RunEnded ended(long atMillis, String item, int run, RunEnd how) {
    return new RunEnded(atMillis, Story.INSTANCE, item, run, how, 1, "");
  }

  @Test
  void aStepRunsOutOfTimeWhileItsItemIsAtNoServer() {
    longStep().ended(LATE_MILLIS).assertBroken(Promise.NO_ITEM_STARVED);
  }

  @Test
  void aStepThatEndsInTimeHolds() {
    longStep().ended(SENT_MILLIS + DUE_MILLIS).assertHolds(Promise.NO_ITEM_STARVED);
  }

  @Test
  void anItemThatBeginsAgainWithinTheTimeHolds() {
    long firstMillis = SENT_MILLIS + 9_000;
    longStep()
        .run(firstMillis, Story.ITEM, 2)
        .add(ended(firstMillis + 2_000, Story.ITEM, 2, RunEnd.CRASHED))
        .run(firstMillis + 5_500, Story.ITEM, 3)
        .ended(LATE_MILLIS)
        .assertHolds(Promise.NO_ITEM_STARVED);
  }

  @Test
  void aDisturbedNodeOrANamedVersionExcuses() {
    longStep()
        .add(new ProcessEvent(SENT_MILLIS + 9_000, Story.FIRST, Happening.PAUSED, 1))
        .ended(LATE_MILLIS)
        .assertHolds(Promise.NO_ITEM_STARVED);
    longStep()
        .add(new VersionSent(SENT_MILLIS + 9_000, "m", 4))
        .ended(LATE_MILLIS)
        .assertHolds(Promise.NO_ITEM_STARVED);
  }

  /** A step of two items, one of which is cut by a crash and does not go on by itself. */
  private static Story longStep() {
    return Story.withJob(Story.plan().withDueMillis(DUE_MILLIS))
        .add(new ServerStarted(0, Story.INSTANCE, Story.SERVICE, "127.0.0.1:1"))
        .run(SENT_MILLIS + 20, Story.ITEM, 1)
        .run(SENT_MILLIS + 20, Story.OTHER_ITEM, 1)
        .add(ended(SENT_MILLIS + 500, Story.OTHER_ITEM, 1, RunEnd.WHOLE))
        .add(ended(SENT_MILLIS + 600, Story.ITEM, 1, RunEnd.CRASHED));
  }
}
