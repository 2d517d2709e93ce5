package org.passhaven.soak.check;

import org.junit.jupiter.api.Test;
import org.passhaven.platform.standin.history.JobObservation.Asked;
import org.passhaven.platform.standin.history.JobObservation.BodyRead;
import org.passhaven.platform.standin.history.JobObservation.NotFound;
import org.passhaven.platform.standin.history.JobObservation.Unreadable;
import org.passhaven.platform.standin.history.NodeObservation.Happening;
import org.passhaven.platform.standin.history.NodeObservation.ProcessEvent;
import org.passhaven.platform.standin.history.OperatorObservation.StoreFaultSet;
import org.passhaven.platform.standin.history.ServerObservation.RunEnd;
import org.passhaven.platform.standin.history.ServerObservation.RunEnded;

class JobChecksTest {
  private static final long LATER_MILLIS = 20_000;
  private static final long AFTER_STATUS_MILLIS = 140_000;

  private static NotFound missing(long atMillis) {
    return new NotFound(atMillis, atMillis - 5, Story.SECOND, Story.JOB, "", Asked.RESULTS, 0, 404);
  }

  private static NotFound missingBody(long atMillis) {
    return new NotFound(
        atMillis, atMillis - 5, Story.SECOND, Story.JOB, Story.ITEM, Asked.BODY, 0, 404);
  }

  @Test
  void aJobThatIsFoundIsKept() {
    Story.withJob().read(LATER_MILLIS, Story.SECOND, 0).assertHolds(Promise.JOB_KEPT);
  }

  @Test
  void anAcceptedJobThatIsNotFoundIsLost() {
    Story.withJob().add(missing(LATER_MILLIS)).assertBroken(Promise.JOB_KEPT);
    Story.withJob().ended(15_000).add(missing(LATER_MILLIS)).assertBroken(Promise.JOB_KEPT);
    Story.withJob().add(missing(AFTER_STATUS_MILLIS)).assertBroken(Promise.JOB_KEPT);
  }

  @Test
  void aMissingJobBindsOnlyWhatIsSettledPromisedAndInTouch() {
    Story.withJob().add(missing(10_500)).assertUnbound(Promise.JOB_KEPT);
    Story.withJob().ended(15_000).add(missing(AFTER_STATUS_MILLIS)).assertUnbound(Promise.JOB_KEPT);
    Story.withJob()
        .add(new ProcessEvent(18_000, Story.SECOND, Happening.STARTED, 13))
        .add(missing(LATER_MILLIS))
        .assertUnbound(Promise.JOB_KEPT);
    Story.withJob()
        .add(new StoreFaultSet(12_000, "", "Down[]"))
        .add(missing(LATER_MILLIS))
        .assertUnbound(Promise.JOB_KEPT);
    Story.withJob()
        .add(new StoreFaultSet(12_000, "", "Down[]"))
        .add(new StoreFaultSet(13_000, "", "Up[]"))
        .add(missing(LATER_MILLIS))
        .assertBroken(Promise.JOB_KEPT);
    Story.withJob()
        .add(new StoreFaultSet(12_000, "", "groups dealt anew"))
        .add(missing(LATER_MILLIS))
        .assertBroken(Promise.JOB_KEPT);
    Story.withJob()
        .add(new StoreFaultSet(18_000, "", "groups dealt anew"))
        .add(missing(LATER_MILLIS))
        .assertUnbound(Promise.JOB_KEPT);
  }

  private static Unreadable unreadable(long atMillis) {
    return new Unreadable(
        atMillis, atMillis - 5, Story.SECOND, Story.JOB, "", Asked.RESULTS, 503, "behind");
  }

  @Test
  void aNodeThatHasHadItsTimeOfRecoveryCanTellOfEachJob() {
    Story.withJob().read(45_000, Story.SECOND, 0).assertHolds(Promise.READABLE_IN_TIME);
    Story.withJob().add(unreadable(45_000)).assertBroken(Promise.READABLE_IN_TIME);
    Story.withJob().add(unreadable(35_000)).assertUnbound(Promise.READABLE_IN_TIME);
    Story.withJob()
        .add(new ProcessEvent(20_000, Story.SECOND, Happening.STARTED, 13))
        .add(unreadable(45_000))
        .assertUnbound(Promise.READABLE_IN_TIME);
    Story.withJob()
        .add(new ProcessEvent(20_000, Story.SECOND, Happening.STARTED, 13))
        .add(unreadable(55_000))
        .assertBroken(Promise.READABLE_IN_TIME);
  }

  @Test
  void aNodeThatDoesNotAnswerAtAllIsNotJustLate() {
    Unreadable late =
        new Unreadable(
            45_000, 43_500, Story.SECOND, Story.JOB, "", Asked.RESULTS, 0, "no answer in time");
    Story.withJob().read(40_000, Story.SECOND, 0).add(late).assertHolds(Promise.READABLE_IN_TIME);
    Story.withJob().add(late).assertBroken(Promise.READABLE_IN_TIME);
  }

  @Test
  void resultsThatStayHold() {
    Story.withJob()
        .read(LATER_MILLIS, Story.FIRST, 0, Story.result(0, Story.ITEM, 2L, 2L, 3L))
        .read(
            LATER_MILLIS + 100,
            Story.SECOND,
            0,
            Story.result(0, Story.ITEM, 2L, 2L, 3L),
            Story.result(1, Story.OTHER_ITEM, 2L, 2L, 2L))
        .assertHolds(Promise.RESULT_UNCHANGED);
  }

  @Test
  void aResultThatChangesOrStandsTwiceIsBroken() {
    Story.withJob()
        .read(LATER_MILLIS, Story.FIRST, 0, Story.result(0, Story.ITEM, 2L, 2L, 3L))
        .read(LATER_MILLIS + 100, Story.SECOND, 0, Story.result(0, Story.ITEM, 2L, 3L, 3L))
        .assertBroken(Promise.RESULT_UNCHANGED);
    Story.withJob()
        .read(
            LATER_MILLIS,
            Story.FIRST,
            0,
            Story.result(0, Story.ITEM, 2L, 2L, 2L),
            Story.result(1, Story.ITEM, 2L, 2L, 2L))
        .assertBroken(Promise.RESULT_UNCHANGED);
    Story.withJob()
        .read(LATER_MILLIS, Story.FIRST, 0, Story.result(0, "item-of-another", 2L, 2L, 2L))
        .assertBroken(Promise.RESULT_UNCHANGED);
  }

  @Test
  void aPositionThatIsGoneIsBrokenOnceItMustBeKnown() {
    Story.withJob()
        .read(LATER_MILLIS, Story.FIRST, 0, Story.result(0, Story.ITEM, 2L, 2L, 3L))
        .read(LATER_MILLIS + 5_000, Story.SECOND, 0)
        .assertBroken(Promise.RESULT_UNCHANGED);
    Story.withJob()
        .read(LATER_MILLIS, Story.FIRST, 0, Story.result(0, Story.ITEM, 2L, 2L, 3L))
        .read(LATER_MILLIS + 500, Story.SECOND, 0)
        .assertHolds(Promise.RESULT_UNCHANGED);
  }

  @Test
  void everythingReadBackFromEveryNodeHolds() {
    Story.withJob()
        .read(LATER_MILLIS, Story.FIRST, 0, Story.result(0, Story.ITEM, 2L, 2L, 3L))
        .ended(25_000)
        .readBackFrom(30_000)
        .read(31_000, Story.FIRST, 0, Story.result(0, Story.ITEM, 2L, 2L, 3L))
        .read(31_000, Story.SECOND, 0, Story.result(0, Story.ITEM, 2L, 2L, 3L))
        .assertHolds(Promise.READ_BACK);
  }

  @Test
  void whatOneNodeDoesNotReadBackIsLost() {
    Story before =
        Story.withJob()
            .read(LATER_MILLIS, Story.FIRST, 0, Story.result(0, Story.ITEM, 2L, 2L, 3L))
            .ended(25_000)
            .readBackFrom(30_000)
            .read(31_000, Story.FIRST, 0, Story.result(0, Story.ITEM, 2L, 2L, 3L));
    before.assertBroken(Promise.READ_BACK);
    before
        .add(
            new Unreadable(
                32_000, 31_900, Story.SECOND, Story.JOB, "", Asked.RESULTS, 503, "unavailable"))
        .assertBroken(Promise.READ_BACK);
    before.read(33_000, Story.SECOND, 0).assertBroken(Promise.READ_BACK);
  }

  @Test
  void whatIsNoLongerPromisedNeedNotBeReadBack() {
    Story.withJob()
        .ended(15_000)
        .readBackFrom(AFTER_STATUS_MILLIS)
        .add(missing(AFTER_STATUS_MILLIS + 1))
        .assertNotChecked(Promise.READ_BACK);
  }

  @Test
  void whatWasUnreadableUntilItsTimeWasOverIsLost() {
    Story.withJob()
        .ended(25_000)
        .readBackFrom(120_000)
        .read(121_000, Story.FIRST, 0)
        .add(unreadable(125_000))
        .add(unreadable(135_000))
        .assertBroken(Promise.READ_BACK);
    Story.withJob()
        .ended(25_000)
        .readBackFrom(120_000)
        .read(121_000, Story.FIRST, 0)
        .add(unreadable(135_000))
        .assertHolds(Promise.READ_BACK);
  }

  @Test
  void aBodyReturnsWithItsBytes() {
    Story.withJob().add(body(Story.BODY_HASH)).assertHolds(Promise.BODY_KEPT);
    Story.withJob().add(body(Story.BODY_HASH + 1)).assertBroken(Promise.BODY_KEPT);
  }

  private static BodyRead body(long hash) {
    return new BodyRead(
        LATER_MILLIS, LATER_MILLIS - 5, Story.SECOND, Story.JOB, Story.ITEM, hash, 10);
  }

  @Test
  void aMissingBodyIsBrokenUnlessItsItemIsDoneOrItsJobEnded() {
    Story.withJob().add(missingBody(LATER_MILLIS)).assertBroken(Promise.BODY_KEPT);
    Story.withJob().ended(15_000).add(missingBody(LATER_MILLIS)).assertUnbound(Promise.BODY_KEPT);
    Story.withJob()
        .add(new RunEnded(15_000, Story.INSTANCE, Story.ITEM, 1, RunEnd.WHOLE, Story.EVENTS, "s"))
        .add(missingBody(LATER_MILLIS))
        .assertUnbound(Promise.BODY_KEPT);
  }
}
