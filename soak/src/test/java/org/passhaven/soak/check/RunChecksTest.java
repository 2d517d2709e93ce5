package org.passhaven.soak.check;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.passhaven.platform.standin.history.JobObservation.EndAsked;
import org.passhaven.platform.standin.history.JobObservation.JobAccepted;
import org.passhaven.platform.standin.history.JobObservation.JobPlanned;
import org.passhaven.platform.standin.history.JobObservation.JobRefused;
import org.passhaven.platform.standin.history.JobObservation.JobSent;
import org.passhaven.platform.standin.history.JobObservation.JobUnknown;
import org.passhaven.platform.standin.history.JobPlan;
import org.passhaven.platform.standin.history.NodeObservation.Happening;
import org.passhaven.platform.standin.history.NodeObservation.LinkFaultSet;
import org.passhaven.platform.standin.history.NodeObservation.ProcessEvent;
import org.passhaven.platform.standin.history.OperatorObservation.ConfigurationAcknowledged;
import org.passhaven.platform.standin.history.OperatorObservation.ConfigurationSent;
import org.passhaven.platform.standin.history.OperatorObservation.RouteSeen;
import org.passhaven.platform.standin.history.RequestObservation.RequestAnswered;
import org.passhaven.platform.standin.history.RequestObservation.RequestBroken;
import org.passhaven.platform.standin.history.RequestObservation.RequestRefused;
import org.passhaven.platform.standin.history.ServerObservation.CrashedByRequest;
import org.passhaven.platform.standin.history.ServerObservation.CrashedUnderItem;
import org.passhaven.platform.standin.history.ServerObservation.DrainAcknowledged;
import org.passhaven.platform.standin.history.ServerObservation.OrderReceived;
import org.passhaven.platform.standin.history.ServerObservation.RunEnd;
import org.passhaven.platform.standin.history.ServerObservation.RunEnded;

class RunChecksTest {
  private static final String REQUEST = "r-1";
  private static final long SENT_MILLIS = 20_000;

  private static Story request(boolean mayRepeat) {
    return Story.begin().request(SENT_MILLIS, Story.FIRST, REQUEST, mayRepeat);
  }

  private static RequestRefused refused() {
    return new RequestRefused(SENT_MILLIS + 9, SENT_MILLIS, Story.FIRST, REQUEST, 503, 0);
  }

  @Test
  void aRequestThatCannotBeRepeatedRunsOnce() {
    request(false).run(SENT_MILLIS + 5, REQUEST, 1).assertHolds(Promise.AT_MOST_ONCE);
    request(false)
        .run(SENT_MILLIS + 5, REQUEST, 1)
        .run(SENT_MILLIS + 9, REQUEST, 2)
        .assertBroken(Promise.AT_MOST_ONCE);
    request(true)
        .run(SENT_MILLIS + 5, REQUEST, 1)
        .run(SENT_MILLIS + 9, REQUEST, 2)
        .assertUnbound(Promise.AT_MOST_ONCE);
  }

  @Test
  void whatIsRefusedDoesNotRun() {
    request(false).add(refused()).assertHolds(Promise.REFUSED_NOT_RUN);
    request(false)
        .add(refused())
        .run(SENT_MILLIS + 900, REQUEST, 1)
        .assertBroken(Promise.REFUSED_NOT_RUN);
    request(true)
        .add(refused())
        .run(SENT_MILLIS + 900, REQUEST, 1)
        .assertUnbound(Promise.REFUSED_NOT_RUN);
  }

  @Test
  void aScoringCallOfAJobWhoseAttemptsAreAllRefusedDoesNotRun() {
    refusedJob(Story.plan(false, "score-1"))
        .run(SENT_MILLIS + 900, "score-1", 1)
        .assertBroken(Promise.REFUSED_NOT_RUN);
  }

  private static Story refusedJob() {
    return refusedJob(Story.plan());
  }

  private static Story refusedJob(JobPlan plan) {
    return Story.begin()
        .add(new JobPlanned(SENT_MILLIS, plan))
        .add(new JobSent(SENT_MILLIS, Story.FIRST, Story.JOB, 1))
        .add(new JobRefused(SENT_MILLIS + 9, SENT_MILLIS, Story.FIRST, Story.JOB, 1, 503));
  }

  @Test
  void aJobWhoseAttemptsAreAllRefusedDoesNotRun() {
    refusedJob().assertHolds(Promise.REFUSED_NOT_RUN);
    refusedJob().run(SENT_MILLIS + 900, Story.ITEM, 1).assertBroken(Promise.REFUSED_NOT_RUN);
    refusedJob()
        .add(new JobSent(SENT_MILLIS + 500, Story.SECOND, Story.JOB, 2))
        .add(
            new JobUnknown(
                SENT_MILLIS + 600, SENT_MILLIS + 500, Story.SECOND, Story.JOB, 2, 0, "reset"))
        .run(SENT_MILLIS + 900, Story.ITEM, 1)
        .assertUnbound(Promise.REFUSED_NOT_RUN);
    refusedJob()
        .add(new JobSent(SENT_MILLIS + 500, Story.SECOND, Story.JOB, 2))
        .add(new JobAccepted(SENT_MILLIS + 600, SENT_MILLIS + 500, Story.SECOND, Story.JOB, 2))
        .run(SENT_MILLIS + 900, Story.ITEM, 1)
        .assertUnbound(Promise.REFUSED_NOT_RUN);
  }

  @Test
  void onlyWhatWasSentRunsAndUnchanged() {
    request(true).run(SENT_MILLIS + 5, REQUEST, 1).assertHolds(Promise.NOTHING_UNASKED);
    request(true).run(SENT_MILLIS + 5, "r-2", 1).assertBroken(Promise.NOTHING_UNASKED);
    request(true)
        .run(SENT_MILLIS + 5, REQUEST, 1, Story.SERVICE, "/changed")
        .assertBroken(Promise.NOTHING_UNASKED);
    Story.withJob().run(SENT_MILLIS, Story.ITEM, 1).assertHolds(Promise.NOTHING_UNASKED);
    Story.withJob()
        .run(SENT_MILLIS, Story.ITEM, 1, Story.SERVICE, "/changed")
        .assertBroken(Promise.NOTHING_UNASKED);
  }

  @Test
  void anItemIsNotBegunAfterTheEndOfItsJob() {
    Story.withJob()
        .run(14_000, Story.ITEM, 1)
        .ended(15_000)
        .run(17_500, Story.ITEM, 2)
        .assertHolds(Promise.QUIET_AFTER_END);
    Story.withJob().ended(15_000).run(18_500, Story.ITEM, 2).assertBroken(Promise.QUIET_AFTER_END);
    Story.withJob()
        .ended(15_000)
        .add(new ProcessEvent(16_000, Story.SECOND, Happening.PAUSED, 12))
        .run(18_500, Story.ITEM, 2)
        .assertUnbound(Promise.QUIET_AFTER_END);
  }

  @Test
  void anEndWithoutAnAnswerCountsAfterAWhileOfSteadyState() {
    Story.withJob()
        .add(new EndAsked(15_000, Story.FIRST, Story.JOB))
        .run(22_500, Story.ITEM, 2)
        .assertBroken(Promise.QUIET_AFTER_END);
    Story.withJob()
        .add(new EndAsked(15_000, Story.FIRST, Story.JOB))
        .run(21_500, Story.ITEM, 2)
        .assertHolds(Promise.QUIET_AFTER_END);
    Story.withJob()
        .add(new ProcessEvent(14_000, Story.FIRST, Happening.STARTED, 11))
        .add(new EndAsked(15_000, Story.FIRST, Story.JOB))
        .run(22_500, Story.ITEM, 2)
        .assertHolds(Promise.QUIET_AFTER_END);
  }

  private static Story drained() {
    return request(true).add(new DrainAcknowledged(SENT_MILLIS - 4_000, Story.INSTANCE));
  }

  @Test
  void nothingIsBegunAfterADrain() {
    request(true)
        .add(new DrainAcknowledged(SENT_MILLIS - 1_000, Story.INSTANCE))
        .run(SENT_MILLIS + 5, REQUEST, 1)
        .assertHolds(Promise.QUIET_AFTER_DRAIN);
    drained().run(SENT_MILLIS + 5, REQUEST, 1).assertBroken(Promise.QUIET_AFTER_DRAIN);
    drained()
        .add(new LinkFaultSet(SENT_MILLIS - 2_000, Story.FIRST, "store", "SILENCE"))
        .run(SENT_MILLIS + 5, REQUEST, 1)
        .assertUnbound(Promise.QUIET_AFTER_DRAIN);
    drained()
        .add(new LinkFaultSet(SENT_MILLIS - 2_000, Story.SECOND, "store", "SILENCE"))
        .run(SENT_MILLIS + 5, REQUEST, 1)
        .assertBroken(Promise.QUIET_AFTER_DRAIN);
  }

  @Test
  void aProcessDoesNotEndByItself() {
    Story.begin().assertHolds(Promise.PROCESS_STAYS);
    Story.begin()
        .add(new ProcessEvent(5_000, Story.FIRST, Happening.KILLED, 11))
        .add(new ProcessEvent(5_010, Story.FIRST, Happening.ENDED, 11))
        .assertHolds(Promise.PROCESS_STAYS);
    Story.begin()
        .add(new ProcessEvent(5_010, Story.FIRST, Happening.ENDED_UNASKED, 11))
        .assertBroken(Promise.PROCESS_STAYS);
  }

  private static Story stopped() {
    return request(false)
        .add(new ProcessEvent(SENT_MILLIS - 500, Story.FIRST, Happening.STOP_ASKED, 11));
  }

  private static RequestBroken broken(long heldMillis) {
    return new RequestBroken(
        SENT_MILLIS + heldMillis, SENT_MILLIS, Story.FIRST, REQUEST, true, "closed");
  }

  @Test
  void aNodeThatIsAskedToEndAnswersWhatItHasRead() {
    RequestAnswered answer =
        new RequestAnswered(
            SENT_MILLIS + 90, SENT_MILLIS, Story.FIRST, REQUEST, 200, "s", REQUEST, 1, true);
    stopped().add(answer).assertHolds(Promise.PLANNED_STOP_LOSES_NOTHING);
    stopped().add(broken(400)).assertBroken(Promise.PLANNED_STOP_LOSES_NOTHING);
    stopped().add(broken(100)).assertUnbound(Promise.PLANNED_STOP_LOSES_NOTHING);
    stopped().add(broken(1_000)).assertUnbound(Promise.PLANNED_STOP_LOSES_NOTHING);
    stopped()
        .add(new ProcessEvent(SENT_MILLIS + 100, Story.FIRST, Happening.KILLED, 11))
        .add(broken(400))
        .assertUnbound(Promise.PLANNED_STOP_LOSES_NOTHING);
    request(false).add(broken(400)).assertUnbound(Promise.PLANNED_STOP_LOSES_NOTHING);
    stopped()
        .add(new RunEnded(SENT_MILLIS + 300, Story.INSTANCE, REQUEST, 1, RunEnd.CRASHED, 0, ""))
        .add(broken(400))
        .assertUnbound(Promise.PLANNED_STOP_LOSES_NOTHING);
  }

  private static OrderReceived order(long atMillis, String owner, long fence) {
    return new OrderReceived(
        atMillis, Story.INSTANCE, "version", owner, fence, -1, "m", 2, "block", 202);
  }

  @Test
  void ordersComeFromOneHolderAtATime() {
    Story.begin()
        .add(order(5_000, Story.FIRST, 1))
        .add(order(6_000, Story.FIRST, 1))
        .add(order(9_500, Story.SECOND, 2))
        .assertHolds(Promise.ONE_HOLDER);
    Story.begin()
        .add(order(5_000, Story.FIRST, 1))
        .add(order(6_000, Story.SECOND, 2))
        .assertBroken(Promise.ONE_HOLDER);
    Story.begin()
        .add(order(5_000, Story.FIRST, 1))
        .add(order(9_500, Story.SECOND, 1))
        .assertBroken(Promise.ONE_HOLDER);
    Story.begin()
        .add(order(5_000, Story.FIRST, 4))
        .add(order(9_500, Story.SECOND, 3))
        .assertBroken(Promise.ONE_HOLDER);
  }

  @Test
  void ordersJustAfterAThawAreLeftOut() {
    Story.begin()
        .add(order(5_000, Story.FIRST, 1))
        .add(order(9_500, Story.SECOND, 2))
        .add(new ProcessEvent(9_600, Story.FIRST, Happening.CONTINUED, 11))
        .add(order(9_700, Story.FIRST, 1))
        .assertHolds(Promise.ONE_HOLDER);
  }

  private static ConfigurationSent configuration(long atMillis, long version, String service) {
    return new ConfigurationSent(
        atMillis,
        version,
        List.of(new RouteSeen("a", Story.HOST, "/p/", service, "idempotent", 2)));
  }

  private static Story moved(long acknowledgedMillis) {
    return request(true)
        .add(configuration(1_000, 1, Story.SERVICE))
        .add(new ConfigurationAcknowledged(1_010, 1_000, 1))
        .add(configuration(acknowledgedMillis - 10, 4, "service-2"))
        .add(new ConfigurationAcknowledged(acknowledgedMillis, acknowledgedMillis - 10, 4));
  }

  @Test
  void aRequestGoesWhereTheConfigurationInForceSays() {
    moved(SENT_MILLIS - 500)
        .run(SENT_MILLIS + 5, REQUEST, 1)
        .assertHolds(Promise.CONFIGURATION_IN_TIME);
    moved(SENT_MILLIS - 5_000)
        .run(SENT_MILLIS + 5, REQUEST, 1)
        .assertBroken(Promise.CONFIGURATION_IN_TIME);
    moved(SENT_MILLIS - 5_000)
        .run(SENT_MILLIS + 5, REQUEST, 1, "service-2", Story.PATH)
        .assertHolds(Promise.CONFIGURATION_IN_TIME);
    moved(SENT_MILLIS - 5_000)
        .run(SENT_MILLIS + 5, REQUEST, 1, "service-3", Story.PATH)
        .assertBroken(Promise.CONFIGURATION_IN_TIME);
  }

  @Test
  void aRouteInForceIsNotAnswered404() {
    RequestAnswered missing =
        new RequestAnswered(
            SENT_MILLIS + 9, SENT_MILLIS, Story.FIRST, REQUEST, 404, "", "", 0, false);
    moved(SENT_MILLIS - 5_000).add(missing).assertBroken(Promise.CONFIGURATION_IN_TIME);
    request(true)
        .add(new ConfigurationSent(1_000, 1, List.of()))
        .add(new ConfigurationAcknowledged(1_010, 1_000, 1))
        .add(missing)
        .assertHolds(Promise.CONFIGURATION_IN_TIME);
  }

  private static Story crashed(int times) {
    Story story = Story.begin();
    for (int i = 0; i < times; i++) {
      long atMillis = SENT_MILLIS + 1_000L * i;
      story
          .request(atMillis, Story.FIRST, REQUEST + i, true)
          .run(atMillis + 5, REQUEST + i, 1)
          .add(new CrashedByRequest(atMillis + 25, Story.INSTANCE, Story.PATH));
    }
    return story;
  }

  /** A job whose first item was at so many servers that crashed, while the other item runs on. */
  private static Story crashedUnderItem(int times) {
    Story story = Story.withJob();
    for (int i = 0; i < times; i++) {
      long atMillis = SENT_MILLIS + 1_000L * i;
      story
          .run(atMillis, Story.ITEM, i + 1)
          .add(new CrashedUnderItem(atMillis + 5, Story.INSTANCE, Story.ITEM));
    }
    return story.run(SENT_MILLIS + 1_000L * times + 3_500, Story.OTHER_ITEM, 1);
  }

  @Test
  void anItemUnderWhichServersCrashedBeginsAgain() {
    long lastMillis = SENT_MILLIS + 3_005;
    long endMillis = lastMillis + 20_000;
    crashedUnderItem(4)
        .run(lastMillis + 5_000, Story.ITEM, 5)
        .ended(endMillis)
        .assertHolds(Promise.ITEM_BEGINS_AGAIN);
    crashedUnderItem(4)
        .run(lastMillis + 5_001, Story.ITEM, 5)
        .ended(endMillis)
        .assertBroken(Promise.ITEM_BEGINS_AGAIN);
    crashedUnderItem(4).ended(endMillis).assertBroken(Promise.ITEM_BEGINS_AGAIN);
    crashedUnderItem(1).ended(lastMillis + 1_000).assertUnbound(Promise.ITEM_BEGINS_AGAIN);
    crashedUnderItem(1)
        .add(new ProcessEvent(SENT_MILLIS + 100, Story.FIRST, Happening.PAUSED, 1))
        .ended(endMillis)
        .assertUnbound(Promise.ITEM_BEGINS_AGAIN);
  }

  private static Story sentLater(Story story, int times, String node) {
    for (int i = 0; i < times; i++) {
      long atMillis = SENT_MILLIS + 10_000L + 1_000L * i;
      story.request(atMillis, node, "later" + i, true).run(atMillis + 5, "later" + i, 1);
    }
    return story;
  }

  @Test
  void aRequestThatHasCrashedThreeBackEndsIsTriedThreeTimesMoreAtMost() {
    sentLater(crashed(3), 3, Story.FIRST).assertHolds(Promise.CRASHES_BOUNDED);
    sentLater(crashed(3), 4, Story.FIRST).assertBroken(Promise.CRASHES_BOUNDED);
    sentLater(sentLater(crashed(3), 2, Story.FIRST), 2, Story.SECOND)
        .assertBroken(Promise.CRASHES_BOUNDED);
    sentLater(crashed(2), 9, Story.FIRST).assertNotChecked(Promise.CRASHES_BOUNDED);
    sentLater(
            crashed(3).add(new ProcessEvent(SENT_MILLIS + 9_000, Story.FIRST, Happening.PAUSED, 1)),
            9,
            Story.FIRST)
        .assertUnbound(Promise.CRASHES_BOUNDED);
  }
}
