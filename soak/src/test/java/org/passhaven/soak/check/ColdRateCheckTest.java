package org.passhaven.soak.check;

import org.junit.jupiter.api.Test;
import org.passhaven.platform.standin.history.NodeObservation.Happening;
import org.passhaven.platform.standin.history.NodeObservation.LinkFaultSet;
import org.passhaven.platform.standin.history.NodeObservation.ProcessEvent;
import org.passhaven.platform.standin.history.ServerObservation.RequestArrived;
import org.passhaven.platform.standin.history.ServerObservation.RunRefused;
import org.passhaven.platform.standin.history.ServerObservation.TurnedCold;

class ColdRateCheckTest {
  private static final long COLD_MILLIS = 20_000;
  private static final long WARM_MILLIS = 25_000;
  private static final double PER_SECOND = 2;

  /** 2 a second, times 1.5, and 5. */
  private static final int MOST = 8;

  private static Story cold() {
    return Story.begin().add(new TurnedCold(COLD_MILLIS, Story.INSTANCE, WARM_MILLIS, PER_SECOND));
  }

  private static RequestArrived arrived(long atMillis, String id) {
    return new RequestArrived(atMillis, Story.INSTANCE, "z", id);
  }

  private static Story withArrivals(Story story, int count, long firstMillis, long lastMillis) {
    for (int i = 0; i < count; i++) {
      long atMillis = firstMillis + (lastMillis - firstMillis) * i / (count - 1);
      story.add(arrived(atMillis, "r-" + i));
    }
    return story;
  }

  @Test
  void noSecondWhereverItLiesHasMoreThanTheBound() {
    withArrivals(cold(), MOST, 21_500, 21_500).assertHolds(Promise.COLD_RATE_KEPT);
    withArrivals(cold(), MOST + 1, 21_500, 22_499).assertBroken(Promise.COLD_RATE_KEPT);
    withArrivals(cold(), MOST + 1, 21_500, 22_500).assertHolds(Promise.COLD_RATE_KEPT);
  }

  @Test
  void onlyWhatArrivesWhileTheServerIsColdCounts() {
    withArrivals(cold(), MOST * 2, WARM_MILLIS, WARM_MILLIS)
        .assertNotChecked(Promise.COLD_RATE_KEPT);
    withArrivals(cold().add(arrived(COLD_MILLIS, "r")), MOST * 2, 19_990, 19_999)
        .assertHolds(Promise.COLD_RATE_KEPT);
    withArrivals(cold(), MOST * 2, WARM_MILLIS - 1, WARM_MILLIS - 1)
        .assertBroken(Promise.COLD_RATE_KEPT);
  }

  @Test
  void whatIsAnswered421DoesNotCount() {
    withArrivals(cold(), MOST + 1, 21_500, 21_600)
        .add(new RunRefused(21_600, Story.INSTANCE, "r-" + MOST, 421))
        .assertHolds(Promise.COLD_RATE_KEPT);
    withArrivals(cold(), MOST + 1, 21_500, 21_600)
        .add(new RunRefused(21_600, Story.INSTANCE, "r-" + MOST, 503))
        .assertBroken(Promise.COLD_RATE_KEPT);
  }

  @Test
  void nodesThatAreNotInTouchAreBoundAndOnlyHarmedLinksToBackEndsExcuse() {
    withArrivals(cold(), MOST + 1, 21_500, 21_600)
        .add(new ProcessEvent(21_400, Story.FIRST, Happening.PAUSED, 11))
        .add(new ProcessEvent(21_450, Story.FIRST, Happening.CONTINUED, 11))
        .assertBroken(Promise.COLD_RATE_KEPT);
    withArrivals(cold(), MOST + 1, 21_500, 21_600)
        .add(new LinkFaultSet(21_000, Story.FIRST, "STORE", "SILENCE"))
        .assertBroken(Promise.COLD_RATE_KEPT);
    withArrivals(cold(), MOST + 1, 21_500, 21_600)
        .add(new LinkFaultSet(21_000, "", "BACK_END 1", "DELAY"))
        .assertUnbound(Promise.COLD_RATE_KEPT);
  }
}
