package org.passhaven.soak.check;

import org.junit.jupiter.api.Test;
import org.passhaven.platform.standin.history.NodeObservation.ServerHarmSet;
import org.passhaven.platform.standin.history.RequestObservation.RequestAnswered;
import org.passhaven.platform.standin.history.ServerObservation.ServerEnded;
import org.passhaven.soak.plan.BackEndHarm;

/** Guards the judgement of requests that fail because one back end answers without end. */
class EndlessAnswerCheckTest {
  private static final long FROM_MILLIS = 20_000;
  private static final long UNTIL_MILLIS = 24_000;
  private static final int SENT = 20;

  /** A time in which a back end answers without end, and requests of which some are served. */
  private static Story served(int count) {
    Story story =
        Story.begin()
            .add(harm(FROM_MILLIS, 0, BackEndHarm.ENDLESS.name()))
            .add(harm(UNTIL_MILLIS, 0, ""));
    for (int i = 0; i < SENT; i++) {
      long atMillis = FROM_MILLIS + 100L * i;
      story.request(atMillis, Story.FIRST, "r" + i, true);
      if (i < count) {
        story.add(answered(atMillis + 30, "r" + i));
      }
    }
    return story;
  }

  private static ServerHarmSet harm(long atMillis, int server, String fault) {
    return new ServerHarmSet(atMillis, "", server, fault);
  }

  private static RequestAnswered answered(long atMillis, String id) {
    return new RequestAnswered(atMillis, atMillis - 30, Story.FIRST, id, 200, "s", id, 1, true);
  }

  @Test
  void nineOfTenAreServed() {
    served(18).assertHolds(Promise.SERVED_BESIDE_ENDLESS_ANSWERS);
    served(17).assertBroken(Promise.SERVED_BESIDE_ENDLESS_ANSWERS);
  }

  @Test
  void requestsBesideAnotherHarmedOrEndedServerAreNotJudged() {
    served(0)
        .add(harm(FROM_MILLIS - 10, 1, BackEndHarm.HANG.name()))
        .assertNotChecked(Promise.SERVED_BESIDE_ENDLESS_ANSWERS);
    served(0)
        .add(new ServerEnded(FROM_MILLIS - 1, Story.INSTANCE, true))
        .add(new ServerEnded(FROM_MILLIS + 1_500, Story.INSTANCE, true))
        .assertNotChecked(Promise.SERVED_BESIDE_ENDLESS_ANSWERS);
  }
}
