package org.passhaven.core.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerStart;
import org.passhaven.core.job.JobScheduler.Failure;
import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.job.JobSubmission;
import org.passhaven.protocol.job.ScoreCall;
import org.passhaven.protocol.job.TextRecord;
import org.passhaven.protocol.job.TextRecord.TextPart;

class JobSchedulerTest {
  private static final JobPolicy POLICY = new JobPolicy("llm", 3, false, 1, 40_000);
  private static final Map<String, NamedVersion> NOTHING_NAMED = Map.of();
  private static final TextTable NOTHING_LEFT = new TextTable("m");
  private final JobScheduler scheduler = new JobScheduler("z");

  private static ServerEntry server(String name, long version) {
    return new ServerEntry(
        ServerStart.of(name), "llm", name + ":1", "z", 2, true, Map.of("m", version));
  }

  private static JobItem item(String id, String group, long tokens, boolean scored) {
    ScoreCall score = scored ? new ScoreCall("s-" + id, "h", "/s/", new byte[0]) : null;
    return new JobItem(id, "/p/" + id, List.of(), new byte[0], group, tokens, score);
  }

  private static Job job(String id, long step, long oldest, JobItem... items) {
    return new Job(
        new JobSubmission(id, "h", "/p/", "", "m", "m", step, oldest, 1, List.of(items)), 0);
  }

  private List<JobAction.Start> starts(List<JobAction> actions) {
    return actions.stream()
        .filter(JobAction.Start.class::isInstance)
        .map(JobAction.Start.class::cast)
        .toList();
  }

  private JobAction.Start onlyStart(List<ServerEntry> servers, long now) {
    List<JobAction.Start> started = starts(scheduler.decide(servers, NOTHING_NAMED, now));
    assertThat(started, hasSize(1));
    return started.get(0);
  }

  private void events(long attempt, int from, int to, long at) {
    for (int event = from; event <= to; event++) {
      scheduler.onEvent(attempt, event, 0, "d" + event, at + event * 30L);
    }
  }

  @Test
  void aTextIsScoredAndThenFinished() {
    scheduler.take(job("j", 0, 1, item("x", "g", 0, true)), POLICY, NOTHING_LEFT);
    long attempt = onlyStart(List.of(server("a", 1)), 0).attempt();
    scheduler.onBegan(attempt, 1, 5);
    scheduler.onEvent(attempt, 1, 0, "one", 40);
    scheduler.onEvent(attempt, 2, 2, "two", 70);
    assertThat(scheduler.onWhole(attempt, 71), contains(instanceOf(JobAction.Score.class)));
    List<JobAction> actions = scheduler.onScored("j", "x", "sig");
    assertThat(actions, hasSize(1));
    var result = ((JobAction.Finish) actions.get(0)).result();
    assertThat(result.text(), equalTo("one\ntwo"));
    assertThat(result.versions(), contains(1L, 2L));
    assertThat(result.score(), equalTo("sig"));
  }

  @Test
  void whatTheGateHoldsBackDoesNotBeginAndTheOthersDo() {
    Set<String> held = new HashSet<>(Set.of("x"));
    JobScheduler gated = new JobScheduler("n", "z", (job, item) -> !held.contains(item.id()));
    List<ServerEntry> servers = List.of(server("a", 1));
    gated.take(
        job("j", 0, 1, item("x", "g", 9, false), item("y", "g", 0, false)), POLICY, NOTHING_LEFT);
    List<JobAction.Start> first = starts(gated.decide(servers, NOTHING_NAMED, 0));
    assertThat(first.stream().map(start -> start.item().id()).toList(), contains("y"));
    held.clear();
    List<JobAction.Start> second = starts(gated.decide(servers, NOTHING_NAMED, 10));
    assertThat(second.stream().map(start -> start.item().id()).toList(), contains("x"));
  }

  @Test
  void aCutGenerationThatTheGateHoldsBackKeepsItsTextAndGoesOnWhenItMay() {
    boolean[] isHeld = new boolean[1];
    JobScheduler gated = new JobScheduler("n", "z", (job, item) -> !isHeld[0]);
    List<ServerEntry> servers = List.of(server("a", 1), server("b", 1));
    gated.take(job("j", 0, 1, item("x", "g", 0, false)), POLICY, NOTHING_LEFT);
    long attempt = starts(gated.decide(servers, NOTHING_NAMED, 0)).get(0).attempt();
    gated.onBegan(attempt, 1, 5);
    gated.onEvent(attempt, 1, 0, "one", 10);
    gated.onFailed(attempt, Failure.CUT, 20);
    isHeld[0] = true;
    for (long now = 100; now < 4_000; now += 100) {
      assertThat(gated.decide(servers, NOTHING_NAMED, now), empty());
    }
    isHeld[0] = false;
    assertThat(starts(gated.decide(servers, NOTHING_NAMED, 4_000)).get(0).lastEvent(), is(1L));
  }

  @Test
  void aScoreThatCannotBeAskedForYetIsAskedForWhenItsPauseIsOver() {
    scheduler.take(job("j", 0, 1, item("x", "g", 0, true)), POLICY, NOTHING_LEFT);
    long attempt = onlyStart(List.of(server("a", 1)), 0).attempt();
    scheduler.onBegan(attempt, 1, 5);
    scheduler.onEvent(attempt, 1, 0, "one", 10);
    scheduler.onWhole(attempt, 20);
    assertThat(scheduler.onScoreFailed("j", "x", 0, 4, 4_000, 30), empty());
    assertThat(scheduler.decide(List.of(server("a", 1)), NOTHING_NAMED, 4_029), empty());
    assertThat(
        scheduler.decide(List.of(server("a", 1)), NOTHING_NAMED, 4_030),
        contains(instanceOf(JobAction.Score.class)));
  }

  @Test
  void aCutGenerationGoesOnAfterItsLastEventAtAnotherServer() {
    List<ServerEntry> servers = List.of(server("a", 1), server("b", 1));
    scheduler.take(job("j", 0, 1, item("x", "g", 0, false)), POLICY, NOTHING_LEFT);
    JobAction.Start first = onlyStart(servers, 0);
    scheduler.onBegan(first.attempt(), 1, 5);
    events(first.attempt(), 1, 3, 10);
    scheduler.onFailed(first.attempt(), Failure.CUT, 120);
    JobAction.Start second = onlyStart(servers, 200);
    assertThat(second.lastEvent(), equalTo(3L));
    assertThat(second.server().start().id(), not(equalTo(first.server().start().id())));
  }

  @Test
  void anEventThatIsNotTheNextOneStopsTheGeneration() {
    scheduler.take(job("j", 0, 1, item("x", "g", 0, false)), POLICY, NOTHING_LEFT);
    long attempt = onlyStart(List.of(server("a", 1)), 0).attempt();
    scheduler.onBegan(attempt, 1, 5);
    scheduler.onEvent(attempt, 1, 0, "one", 10);
    assertThat(
        scheduler.onEvent(attempt, 3, 0, "three", 20), contains(instanceOf(JobAction.Stop.class)));
  }

  @Test
  void serversWithOlderWeightsThanAllowedGetNothing() {
    scheduler.take(job("j", 0, 5, item("x", "g", 0, false)), POLICY, NOTHING_LEFT);
    assertThat(scheduler.decide(List.of(server("a", 4)), NOTHING_NAMED, 0), empty());
    assertThat(
        onlyStart(List.of(server("a", 4), server("b", 5)), 1).server().start().id(), is("b"));
  }

  @Test
  void aServerWithOverdueWeightsIsTakenOnlyIfTheOthersAreMuchFuller() {
    List<ServerEntry> servers = List.of(server("a", 4), server("b", 5));
    Map<String, NamedVersion> named = Map.of("m", new NamedVersion(5, 0));
    JobItem[] items = {
      item("x", "g", 3, false),
      item("y", "h", 2, false),
      item("z", "i", 1, false),
      item("w", "k", 0, false)
    };
    scheduler.take(job("j", 0, 4, items), POLICY, NOTHING_LEFT);
    List<String> chosen =
        starts(scheduler.decide(servers, named, 2_000)).stream()
            .map(start -> start.server().start().id())
            .toList();
    assertThat(chosen, contains("b", "b", "a", "a"));
  }

  @Test
  void olderWeightsThatAreAllowedAreUsedWhileTheNewestAreJustNamed() {
    List<ServerEntry> servers = List.of(server("a", 4), server("b", 5));
    Map<String, NamedVersion> named = Map.of("m", new NamedVersion(5, 0));
    scheduler.take(
        job("j", 0, 4, item("x", "g", 2, false), item("y", "h", 1, false)), POLICY, NOTHING_LEFT);
    List<String> chosen =
        starts(scheduler.decide(servers, named, 100)).stream()
            .map(start -> start.server().start().id())
            .toList();
    assertThat(chosen, contains("a", "b"));
  }

  @Test
  void aServerThatRefusedGetsOneItemAtATimeUntilItTakesOne() {
    List<ServerEntry> servers = List.of(server("a", 1));
    scheduler.take(
        job("j", 0, 1, item("x", "g", 2, false), item("y", "g", 1, false)), POLICY, NOTHING_LEFT);
    List<JobAction.Start> both = starts(scheduler.decide(servers, NOTHING_NAMED, 0));
    assertThat(both, hasSize(2));
    both.forEach(start -> scheduler.onFailed(start.attempt(), Failure.REFUSED, 10));
    JobAction.Start probe = onlyStart(servers, 200);
    assertThat(scheduler.decide(servers, NOTHING_NAMED, 300), empty());
    scheduler.onBegan(probe.attempt(), 1, 310);
    onlyStart(servers, 320);
  }

  @Test
  void textOfAnOlderVersionThanAllowedIsNotTaken() {
    scheduler.take(job("j", 0, 5, item("x", "g", 0, false)), POLICY, NOTHING_LEFT);
    long attempt = onlyStart(List.of(server("a", 5)), 0).attempt();
    assertThat(scheduler.onBegan(attempt, 4, 5), contains(instanceOf(JobAction.Stop.class)));
    assertThat(scheduler.onEvent(attempt, 1, 0, "late", 6), empty());
  }

  @Test
  void aRouteOfSingleVersionsStartsAnewWhenTheVersionChanges() {
    JobPolicy single = new JobPolicy("llm", 3, true, 0, 0);
    scheduler.take(job("j", 0, 1, item("x", "g", 0, false)), single, NOTHING_LEFT);
    long attempt = onlyStart(List.of(server("a", 1)), 0).attempt();
    scheduler.onBegan(attempt, 1, 5);
    scheduler.onEvent(attempt, 1, 0, "one", 10);
    assertThat(
        scheduler.onEvent(attempt, 2, 2, "two", 20), contains(instanceOf(JobAction.Stop.class)));
    assertThat(onlyStart(List.of(server("a", 2)), 100).lastEvent(), equalTo(0L));
  }

  @Test
  void anItemIsGivenUpAfterAsManyServerErrorsAsAllowed() {
    List<ServerEntry> servers = List.of(server("a", 1));
    scheduler.take(job("j", 0, 1, item("x", "g", 0, false)), POLICY, NOTHING_LEFT);
    long now = 0;
    for (int error = 1; error <= 3; error++) {
      long attempt = onlyStart(servers, now).attempt();
      List<JobAction> actions = scheduler.onFailed(attempt, Failure.SERVER_ERROR, now);
      assertThat(actions, hasSize(error < 3 ? 0 : 1));
      now += 100;
    }
    assertThat(starts(scheduler.decide(servers, NOTHING_NAMED, now)), empty());
  }

  @Test
  void anItemThatCanNeverBeDoneIsGivenUpAtOnce() {
    scheduler.take(job("j", 0, 1, item("x", "g", 0, false)), POLICY, NOTHING_LEFT);
    long attempt = onlyStart(List.of(server("a", 1)), 0).attempt();
    List<JobAction> actions = scheduler.onFailed(attempt, Failure.IMPOSSIBLE, 1);
    assertThat(((JobAction.Finish) actions.get(0)).result().completed(), is(false));
  }

  @Test
  void aStalledGenerationIsStoppedAndGoesOnElsewhere() {
    List<ServerEntry> servers = List.of(server("a", 1), server("b", 1));
    scheduler.take(job("j", 0, 1, item("x", "g", 0, false)), POLICY, NOTHING_LEFT);
    JobAction.Start first = onlyStart(servers, 0);
    scheduler.onBegan(first.attempt(), 1, 5);
    events(first.attempt(), 1, 2, 10);
    List<JobAction> actions = scheduler.decide(servers, NOTHING_NAMED, 1_000);
    assertThat(actions, contains(instanceOf(JobAction.Stop.class)));
    JobAction.Start second = onlyStart(servers, 1_001);
    assertThat(second.lastEvent(), equalTo(2L));
    assertThat(second.server().start().id(), not(equalTo(first.server().start().id())));
  }

  @Test
  void anEndedJobIsStoppedAndItsTextServesALaterJobThatAllowsItsVersions() {
    List<ServerEntry> servers = List.of(server("a", 3));
    scheduler.take(job("j", 0, 1, item("x", "g", 0, false)), POLICY, NOTHING_LEFT);
    long attempt = onlyStart(servers, 0).attempt();
    scheduler.onBegan(attempt, 3, 5);
    events(attempt, 1, 4, 10);
    assertThat(scheduler.drop("j", "ended"), contains(instanceOf(JobAction.Stop.class)));
    scheduler.take(job("k", 1, 3, item("x", "g", 0, false)), POLICY, NOTHING_LEFT);
    assertThat(onlyStart(servers, 500).lastEvent(), equalTo(4L));
  }

  @Test
  void aWholeTextThatWasKeptIsScoredWithoutAServer() {
    List<ServerEntry> servers = List.of(server("a", 3));
    scheduler.take(job("j", 0, 1, item("x", "g", 0, true)), POLICY, NOTHING_LEFT);
    long attempt = onlyStart(servers, 0).attempt();
    scheduler.onBegan(attempt, 3, 5);
    events(attempt, 1, 4, 10);
    scheduler.onWhole(attempt, 200);
    scheduler.drop("j", "ended");
    scheduler.take(job("k", 1, 3, item("x", "g", 0, true)), POLICY, NOTHING_LEFT);
    assertThat(
        scheduler.decide(servers, NOTHING_NAMED, 500), contains(instanceOf(JobAction.Score.class)));
  }

  @Test
  void aContinuationBehindTheLastEventNamesNoVersionAndIsWhole() {
    List<ServerEntry> servers = List.of(server("a", 3));
    scheduler.take(job("j", 0, 1, item("x", "g", 0, false)), POLICY, NOTHING_LEFT);
    long first = onlyStart(servers, 0).attempt();
    scheduler.onBegan(first, 3, 5);
    events(first, 1, 4, 10);
    scheduler.onFailed(first, Failure.CUT, 200);
    long second = onlyStart(servers, 500).attempt();
    assertThat(scheduler.onBegan(second, 0, 505), empty());
    assertThat(scheduler.onWhole(second, 510), contains(instanceOf(JobAction.Finish.class)));
  }

  @Test
  void anEventOfAnUnknownVersionIsNeverTaken() {
    scheduler.take(job("j", 0, 1, item("x", "g", 0, false)), POLICY, NOTHING_LEFT);
    long attempt = onlyStart(List.of(server("a", 3)), 0).attempt();
    scheduler.onBegan(attempt, 0, 5);
    assertThat(
        scheduler.onEvent(attempt, 1, 0, "one", 10), contains(instanceOf(JobAction.Stop.class)));
  }

  @Test
  void keptTextOfTooOldVersionsIsNotUsed() {
    List<ServerEntry> servers = List.of(server("a", 3));
    scheduler.take(job("j", 0, 1, item("x", "g", 0, false)), POLICY, NOTHING_LEFT);
    long attempt = onlyStart(servers, 0).attempt();
    scheduler.onBegan(attempt, 2, 5);
    events(attempt, 1, 4, 10);
    scheduler.drop("j", "ended");
    scheduler.take(job("k", 1, 3, item("x", "g", 0, false)), POLICY, NOTHING_LEFT);
    assertThat(onlyStart(servers, 500).lastEvent(), equalTo(0L));
  }

  @Test
  void aSuccessorGoesOnWithTheTextThatARunnerLeft() {
    List<ServerEntry> servers = List.of(server("a", 1));
    Job job = job("j", 0, 1, item("x", "g", 0, true), item("y", "g", 0, true));
    scheduler.take(job, POLICY, NOTHING_LEFT);
    List<JobAction.Start> started = starts(scheduler.decide(servers, NOTHING_NAMED, 0));
    for (JobAction.Start start : started) {
      scheduler.onBegan(start.attempt(), 1, 5);
      events(start.attempt(), 1, 3, 10);
    }
    scheduler.onWhole(started.get(1).attempt(), 200);
    TextTable left = new TextTable("m");
    left.apply(new TextRecord("m", 1, 1, scheduler.takeUnsavedTexts("m")));
    JobScheduler successor = new JobScheduler("z");
    successor.take(job, POLICY, left);
    List<JobAction> actions = successor.decide(servers, NOTHING_NAMED, 300);
    assertThat(
        actions,
        containsInAnyOrder(instanceOf(JobAction.Score.class), instanceOf(JobAction.Start.class)));
    assertThat(starts(actions).get(0).lastEvent(), equalTo(3L));
  }

  @Test
  void onlyWhatTheLogLacksOfATextIsTakenForIt() {
    scheduler.take(job("j", 0, 1, item("x", "g", 0, false)), POLICY, NOTHING_LEFT);
    long attempt = onlyStart(List.of(server("a", 1)), 0).attempt();
    scheduler.onBegan(attempt, 1, 5);
    events(attempt, 1, 2, 10);
    List<TextPart> first = scheduler.takeUnsavedTexts("m");
    assertThat(scheduler.takeUnsavedTexts("m"), empty());
    events(attempt, 3, 3, 40);
    assertThat(scheduler.takeUnsavedTexts("m").get(0).afterEvent(), equalTo(2L));
    scheduler.onTextsNotSaved(first);
    assertThat(scheduler.takeUnsavedTexts("m").get(0).events().size(), equalTo(3));
    assertThat(scheduler.takeUnsavedTexts("another run"), empty());
  }

  @Test
  void noServerGetsMoreThanItsSlots() {
    List<JobItem> items = new ArrayList<>();
    for (int i = 0; i < 9; i++) {
      items.add(item("x" + i, "g" + i, 0, false));
    }
    scheduler.take(job("j", 0, 1, items.toArray(JobItem[]::new)), POLICY, NOTHING_LEFT);
    List<JobAction.Start> started =
        starts(scheduler.decide(List.of(server("a", 1), server("b", 1)), NOTHING_NAMED, 0));
    assertThat(
        started.stream().map(start -> start.server().start().id()).toList(),
        containsInAnyOrder("a", "a", "b", "b"));
  }

  @Test
  void theLongestGroupAndTheLowestStepGoFirst() {
    scheduler.take(job("later", 2, 1, item("z", "g", 999, false)), POLICY, NOTHING_LEFT);
    scheduler.take(
        job("now", 1, 1, item("short", "g1", 10, false), item("long", "g2", 500, false)),
        POLICY,
        NOTHING_LEFT);
    List<JobAction.Start> started =
        starts(scheduler.decide(List.of(server("a", 1)), NOTHING_NAMED, 0));
    assertThat(
        started.stream().map(start -> start.item().id()).toList(), contains("long", "short"));
    assertThat(started.get(0).priority(), equalTo(3));
  }

  @Test
  void aResultOfAnotherRunnerStopsTheOwnGeneration() {
    scheduler.take(job("j", 0, 1, item("x", "g", 0, false)), POLICY, NOTHING_LEFT);
    onlyStart(List.of(server("a", 1)), 0);
    assertThat(scheduler.onListed("j", "x"), contains(instanceOf(JobAction.Stop.class)));
    assertThat(scheduler.isRunning("j"), is(false));
  }

  @Test
  void aScoreThatFailsIsAskedForAgainUntilItsErrorsAreUsedUp() {
    scheduler.take(job("j", 0, 1, item("x", "g", 0, true)), POLICY, NOTHING_LEFT);
    long attempt = onlyStart(List.of(server("a", 1)), 0).attempt();
    scheduler.onBegan(attempt, 1, 5);
    scheduler.onEvent(attempt, 1, 0, "one", 10);
    scheduler.onWhole(attempt, 20);
    assertThat(scheduler.onScoreFailed("j", "x", 2, 4, 0, 30), empty());
    assertThat(
        scheduler.decide(List.of(server("a", 1)), NOTHING_NAMED, 200),
        contains(instanceOf(JobAction.Score.class)));
    List<JobAction> last = scheduler.onScoreFailed("j", "x", 2, 4, 0, 230);
    assertThat(((JobAction.Finish) last.get(0)).result().completed(), is(false));
  }
}
