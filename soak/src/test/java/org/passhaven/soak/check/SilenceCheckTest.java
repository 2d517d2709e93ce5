package org.passhaven.soak.check;

import org.junit.jupiter.api.Test;
import org.passhaven.platform.standin.history.NodeObservation.Happening;
import org.passhaven.platform.standin.history.NodeObservation.LinkFaultSet;
import org.passhaven.platform.standin.history.NodeObservation.ProcessEvent;
import org.passhaven.platform.standin.history.NodeObservation.StutterSet;
import org.passhaven.platform.standin.history.RequestObservation.RequestAnswered;

class SilenceCheckTest {
  private static final long STRIKE_MILLIS = 20_000;
  private static final int REQUESTS = 20;

  private static Story strike(int served) {
    Story story =
        Story.begin()
            .add(new LinkFaultSet(STRIKE_MILLIS, Story.FIRST, "STORE", "MUTE"))
            .add(new LinkFaultSet(STRIKE_MILLIS, Story.FIRST, "STORE", ""))
            .add(new LinkFaultSet(STRIKE_MILLIS, "", "BACK_END 0", "MUTE"))
            .add(new LinkFaultSet(STRIKE_MILLIS, "", "BACK_END 0", ""));
    for (int i = 0; i < REQUESTS; i++) {
      String id = "r-" + i;
      long sentMillis = STRIKE_MILLIS + 10L * i;
      story.request(sentMillis, Story.FIRST, id, true);
      if (i < served) {
        story.add(
            new RequestAnswered(
                sentMillis + 200, sentMillis, Story.FIRST, id, 200, "s", id, 1, true));
      }
    }
    return story;
  }

  @Test
  void nearlyAllAreServedWhileConnectionsAreSilent() {
    strike(REQUESTS).assertHolds(Promise.SERVED_OVER_NEW_CONNECTIONS);
    strike(18).assertHolds(Promise.SERVED_OVER_NEW_CONNECTIONS);
    strike(17).assertBroken(Promise.SERVED_OVER_NEW_CONNECTIONS);
  }

  @Test
  void itDoesNotBindWhereSomethingElseIsAmiss() {
    strike(0)
        .add(new ProcessEvent(STRIKE_MILLIS - 2_000, Story.SECOND, Happening.STARTED, 12))
        .assertUnbound(Promise.SERVED_OVER_NEW_CONNECTIONS);
    strike(0)
        .add(new LinkFaultSet(STRIKE_MILLIS + 500, "", "BACK_END 0", "SILENCE"))
        .assertUnbound(Promise.SERVED_OVER_NEW_CONNECTIONS);
    strike(0)
        .add(new StutterSet(STRIKE_MILLIS - 500, "", true))
        .assertUnbound(Promise.SERVED_OVER_NEW_CONNECTIONS);
    strike(0)
        .add(new StutterSet(STRIKE_MILLIS - 500, "", true))
        .add(new StutterSet(STRIKE_MILLIS - 100, "", false))
        .assertBroken(Promise.SERVED_OVER_NEW_CONNECTIONS);
  }
}
