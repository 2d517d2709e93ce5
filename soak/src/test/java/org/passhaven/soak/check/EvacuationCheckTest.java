package org.passhaven.soak.check;

import org.junit.jupiter.api.Test;
import org.passhaven.platform.standin.history.NodeObservation.Happening;
import org.passhaven.platform.standin.history.NodeObservation.LinkFaultSet;
import org.passhaven.platform.standin.history.NodeObservation.ProcessEvent;
import org.passhaven.platform.standin.history.OperatorObservation.EvacuationAcknowledged;
import org.passhaven.platform.standin.history.OperatorObservation.EvacuationEndSent;
import org.passhaven.platform.standin.history.OperatorObservation.StoreFaultSet;
import org.passhaven.platform.standin.history.ServerObservation.RequestArrived;
import org.passhaven.platform.standin.history.ServerObservation.RunRefused;

class EvacuationCheckTest {
  private static final String ZONE = "z-1";
  private static final String OTHER_ZONE = "z-2";
  private static final String OTHER_INSTANCE = "i-2";
  private static final String REQUEST = "r-1";
  private static final long EVACUATED_MILLIS = 20_000;
  private static final long BINDS_MILLIS = 25_000;
  private static final long END_MILLIS = 30_000;

  private static RequestArrived arrived(long atMillis, String id) {
    return new RequestArrived(atMillis, Story.INSTANCE, ZONE, id);
  }

  private static RequestArrived elsewhere(long atMillis) {
    return new RequestArrived(atMillis, OTHER_INSTANCE, OTHER_ZONE, "r-9");
  }

  private static Story unused() {
    return Story.begin()
        .add(new EvacuationAcknowledged(EVACUATED_MILLIS, EVACUATED_MILLIS - 5, ZONE))
        .add(elsewhere(BINDS_MILLIS + 500))
        .add(new EvacuationEndSent(END_MILLIS, ZONE));
  }

  /** Both zones have traffic; the request is one that the first node is asked. */
  private static Story evacuated() {
    return unused()
        .add(arrived(EVACUATED_MILLIS - 100, "r-0"))
        .request(EVACUATED_MILLIS, Story.FIRST, REQUEST, true);
  }

  private static Story late() {
    return evacuated().add(arrived(BINDS_MILLIS + 1_000, REQUEST));
  }

  private static LinkFaultSet link(long atMillis, String node, String fault) {
    return new LinkFaultSet(atMillis, node, "STORE", fault);
  }

  @Test
  void nothingReachesAnEvacuatedZoneLaterThanTheBound() {
    evacuated().assertHolds(Promise.ZONE_EMPTIED_IN_TIME);
    evacuated().add(arrived(BINDS_MILLIS, REQUEST)).assertHolds(Promise.ZONE_EMPTIED_IN_TIME);
    evacuated().add(arrived(BINDS_MILLIS + 1, REQUEST)).assertBroken(Promise.ZONE_EMPTIED_IN_TIME);
    evacuated().add(arrived(END_MILLIS - 1, REQUEST)).assertBroken(Promise.ZONE_EMPTIED_IN_TIME);
    evacuated().add(arrived(END_MILLIS, REQUEST)).assertHolds(Promise.ZONE_EMPTIED_IN_TIME);
  }

  @Test
  void anEvacuationThatIsNotTakenBackBindsUntilTheEnd() {
    Story.begin()
        .add(new EvacuationAcknowledged(EVACUATED_MILLIS, EVACUATED_MILLIS - 5, ZONE))
        .add(arrived(END_MILLIS + 9_000, REQUEST))
        .assertBroken(Promise.ZONE_EMPTIED_IN_TIME);
  }

  @Test
  void anItemBindsWhereAllNodesAreInTouch() {
    evacuated()
        .add(arrived(BINDS_MILLIS + 1_000, Story.ITEM))
        .assertBroken(Promise.ZONE_EMPTIED_IN_TIME);
    evacuated()
        .add(arrived(BINDS_MILLIS + 1_000, Story.ITEM))
        .add(link(BINDS_MILLIS, Story.SECOND, "SILENCE"))
        .assertUnbound(Promise.ZONE_EMPTIED_IN_TIME);
  }

  @Test
  void aNodeThatWasHarmedIsExcusedUntilItIsInTouchAgain() {
    late()
        .add(new ProcessEvent(BINDS_MILLIS - 1_500, Story.FIRST, Happening.PAUSED, 11))
        .add(new ProcessEvent(BINDS_MILLIS - 1_000, Story.FIRST, Happening.CONTINUED, 11))
        .assertUnbound(Promise.ZONE_EMPTIED_IN_TIME);
    late()
        .add(new StoreFaultSet(BINDS_MILLIS, "", "forgets"))
        .assertUnbound(Promise.ZONE_EMPTIED_IN_TIME);
    late()
        .add(link(BINDS_MILLIS, Story.SECOND, "SILENCE"))
        .assertBroken(Promise.ZONE_EMPTIED_IN_TIME);
    late()
        .add(link(EVACUATED_MILLIS - 500, Story.FIRST, "SILENCE"))
        .add(link(BINDS_MILLIS - 2_001, Story.FIRST, ""))
        .assertBroken(Promise.ZONE_EMPTIED_IN_TIME);
  }

  @Test
  void aRequestThatWasSentToTwoNodesBindsWhereBothAreInTouch() {
    late()
        .request(BINDS_MILLIS, Story.SECOND, REQUEST, true)
        .add(link(BINDS_MILLIS, Story.SECOND, "SILENCE"))
        .assertUnbound(Promise.ZONE_EMPTIED_IN_TIME);
    late()
        .request(END_MILLIS, Story.SECOND, REQUEST, true)
        .add(link(BINDS_MILLIS, Story.SECOND, "SILENCE"))
        .assertBroken(Promise.ZONE_EMPTIED_IN_TIME);
  }

  @Test
  void onlyAnArrivalThatIsAnswered421IsLeftOut() {
    late()
        .add(new RunRefused(BINDS_MILLIS + 1_000, Story.INSTANCE, REQUEST, 421))
        .assertHolds(Promise.ZONE_EMPTIED_IN_TIME);
    late()
        .add(new RunRefused(BINDS_MILLIS + 1_000, Story.INSTANCE, REQUEST, 503))
        .assertBroken(Promise.ZONE_EMPTIED_IN_TIME);
    late()
        .add(new RunRefused(BINDS_MILLIS + 1_000, Story.INSTANCE, REQUEST, 421))
        .add(arrived(BINDS_MILLIS + 2_000, REQUEST))
        .assertBroken(Promise.ZONE_EMPTIED_IN_TIME);
  }

  @Test
  void aZoneWithoutTrafficToLoseIsNoCheck() {
    unused().assertNotChecked(Promise.ZONE_EMPTIED_IN_TIME);
    Story.begin()
        .add(arrived(EVACUATED_MILLIS - 100, "r-0"))
        .add(new EvacuationAcknowledged(EVACUATED_MILLIS, EVACUATED_MILLIS - 5, ZONE))
        .add(elsewhere(BINDS_MILLIS - 500))
        .add(new EvacuationEndSent(BINDS_MILLIS, ZONE))
        .assertNotChecked(Promise.ZONE_EMPTIED_IN_TIME);
  }
}
