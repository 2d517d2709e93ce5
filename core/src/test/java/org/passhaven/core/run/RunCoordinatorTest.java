package org.passhaven.core.run;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.passhaven.core.configuration.TrainerSettings;
import org.passhaven.core.routing.DispatchPolicy;
import org.passhaven.core.routing.EngineView;
import org.passhaven.protocol.LogEntry;
import org.passhaven.protocol.LogRecord;
import org.passhaven.protocol.NodeId;
import org.passhaven.protocol.Prompt;
import org.passhaven.protocol.RecordId;
import org.passhaven.protocol.Sample;
import org.passhaven.protocol.Segment;
import org.passhaven.protocol.ServerId;

/** Guards against samples that are delivered uncommitted, too stale or twice. */
class RunCoordinatorTest {
  private static final NodeId SELF = new NodeId("self");
  private static final int STALENESS_BOUND = 1;
  private final RunState state = new RunState();
  private long sequence;
  private long now;

  private void apply(LogRecord record) {
    state.apply(new LogEntry(new RecordId(SELF, 1, ++sequence), record));
  }

  private RunCoordinator coordinator(TrainerSettings.Objective objective, int steps, int samples) {
    apply(new LogRecord.LeaseClaimed(1, SELF, "self:1", 6_000));
    for (int step = 0; step < steps; step++) {
      apply(new LogRecord.StepSubmitted(1, step, List.of(new Prompt(0, "p" + step, 1)), samples));
    }
    return new RunCoordinator(
        state,
        1,
        new TrainerSettings("m", STALENESS_BOUND, 1, 0, objective, ""),
        DispatchPolicy.DEFAULT);
  }

  private static EngineView engine(String id, long version, int capacity, int load) {
    return new EngineView(new ServerId(id), id, "z", 1, version, capacity, load, true);
  }

  private static RunAction.Generate generate(RunAction action) {
    assertThat(action, instanceOf(RunAction.Generate.class));
    return (RunAction.Generate) action;
  }

  private static Segment tokens(String engine, long version, int... tokens) {
    return new Segment(version, new ServerId(engine), 1, tokens);
  }

  private void commitAll(RunCoordinator coordinator) {
    coordinator.commitReady().ifPresent(this::apply);
    coordinator.onStateChanged();
  }

  private AttemptId generateOne(RunCoordinator coordinator, EngineView engine, long version) {
    AttemptId attempt = generate(coordinator.dispatch(List.of(engine), "z", now).get(0)).attempt();
    coordinator.onSegment(attempt, tokens(engine.id().value(), version, 1, 2));
    coordinator.onGenerated(attempt);
    return attempt;
  }

  @Test
  void sampleIsDeliveredOnlyAfterItsCommitIsReadBack() {
    RunCoordinator coordinator = coordinator(TrainerSettings.Objective.IDLE_TIME, 1, 1);
    generateOne(coordinator, engine("e", 0, 4, 0), 0);
    LogRecord commit = coordinator.commitReady().orElseThrow();
    assertThat(coordinator.pull(0, 0, 10), empty());
    apply(commit);
    coordinator.onStateChanged();
    assertThat(coordinator.pull(0, 0, 10), hasSize(1));
  }

  @Test
  void repeatedPullReturnsTheSameSamples() {
    RunCoordinator coordinator = coordinator(TrainerSettings.Objective.IDLE_TIME, 1, 2);
    generateOne(coordinator, engine("e", 0, 1, 0), 0);
    commitAll(coordinator);
    List<Sample> first = coordinator.pull(0, 0, 10);
    assertThat(coordinator.pull(0, 0, 10), equalTo(first));
    assertThat(first.get(0).position(), equalTo(0L));
  }

  @Test
  void staleSampleIsRegeneratedAtTheSamePosition() {
    RunCoordinator coordinator = coordinator(TrainerSettings.Objective.IDLE_TIME, 1, 1);
    generateOne(coordinator, engine("e", 0, 4, 0), 0);
    commitAll(coordinator);
    coordinator.onTrainerVersion(STALENESS_BOUND + 1L, now);
    assertThat(coordinator.pull(0, 0, 10), empty());
    generateOne(coordinator, engine("e", 2, 4, 0), 2);
    commitAll(coordinator);
    List<Sample> samples = coordinator.pull(0, 0, 10);
    assertThat(samples, hasSize(1));
    assertThat(samples.get(0).oldestVersion(), equalTo(2L));
    assertThat(samples.get(0).position(), equalTo(0L));
  }

  @Test
  void weightSwapDuringGenerationCreatesTwoSegments() {
    RunCoordinator coordinator = coordinator(TrainerSettings.Objective.IDLE_TIME, 1, 1);
    AttemptId attempt =
        generate(coordinator.dispatch(List.of(engine("e", 0, 4, 0)), "z", now).get(0)).attempt();
    coordinator.onSegment(attempt, tokens("e", 0, 1));
    coordinator.onSegment(attempt, tokens("e", 0, 2));
    coordinator.onSegment(attempt, tokens("e", 1, 3));
    coordinator.onGenerated(attempt);
    commitAll(coordinator);
    Sample sample = coordinator.pull(0, 0, 1).get(0);
    assertThat(sample.segments(), hasSize(2));
    assertThat(sample.oldestVersion(), equalTo(0L));
    assertThat(sample.newestVersion(), equalTo(1L));
  }

  @Test
  void anotherEngineContinuesTheTokensOfAFailedAttempt() {
    RunCoordinator coordinator = coordinator(TrainerSettings.Objective.IDLE_TIME, 1, 1);
    AttemptId attempt =
        generate(coordinator.dispatch(List.of(engine("e", 0, 4, 0)), "z", now).get(0)).attempt();
    coordinator.onSegment(attempt, tokens("e", 0, 7, 8));
    coordinator.onFailed(attempt, true);
    RunAction.Generate retry =
        generate(coordinator.dispatch(List.of(engine("f", 0, 4, 0)), "z", now).get(0));
    assertThat(retry.prefix().get(0).tokens(), equalTo(new int[] {7, 8}));
    assertThat(
        "late tokens of the first attempt are rejected",
        !coordinator.onSegment(attempt, tokens("e", 0, 9)));
  }

  @Test
  void newOwnerRegeneratesOnlyUnacknowledgedSamples() {
    coordinator(TrainerSettings.Objective.IDLE_TIME, 1, 3);
    apply(
        new LogRecord.SamplesCommitted(
            1,
            0,
            List.of(
                new LogRecord.Commit(0, 2, 1, 0, 0, 0), new LogRecord.Commit(1, 0, 1, 0, 0, 0))));
    RunCoordinator newOwner =
        new RunCoordinator(
            state,
            1,
            new TrainerSettings(
                "m", STALENESS_BOUND, 1, 0, TrainerSettings.Objective.IDLE_TIME, ""),
            DispatchPolicy.DEFAULT);
    List<RunAction> first = newOwner.dispatch(List.of(engine("e", 0, 8, 0)), "z", now);
    assertThat("only the slot without a position", first, hasSize(1));
    assertThat(generate(first.get(0)).attempt().slot(), equalTo(1));
    newOwner.onPull(0, 1);
    List<RunAction> second = newOwner.dispatch(List.of(engine("e", 0, 8, 0)), "z", now);
    assertThat(second, hasSize(1));
    assertThat(generate(second.get(0)).attempt().slot(), equalTo(0));
  }

  @Test
  void laterStepsAvoidEnginesThatRunAwaitedSamples() {
    RunCoordinator coordinator = coordinator(TrainerSettings.Objective.IDLE_TIME, 2, 1);
    coordinator.onPull(0, 0);
    List<RunAction> actions = coordinator.dispatch(List.of(engine("e", 0, 8, 0)), "z", now);
    assertThat(actions, hasSize(2));
    RunCoordinator coordinatorAtStepTwo = coordinator;
    assertThat(coordinatorAtStepTwo.enginesOfPulledStep().size(), equalTo(1));
    apply(new LogRecord.StepSubmitted(1, 2, List.of(new Prompt(0, "p2", 1)), 1));
    coordinatorAtStepTwo.onStateChanged();
    coordinatorAtStepTwo.onTrainerVersion(1, -10_000);
    assertThat(
        "the only engine runs an awaited sample",
        coordinatorAtStepTwo.dispatch(List.of(engine("e", 1, 8, 2)), "z", now),
        empty());
    assertThat(
        coordinatorAtStepTwo.dispatch(
            List.of(engine("e", 1, 8, 2), engine("f", 1, 8, 0)), "z", now),
        hasSize(1));
  }

  @Test
  void stalenessObjectiveWaitsForNewWeights() {
    RunCoordinator coordinator = coordinator(TrainerSettings.Objective.STALENESS, 2, 1);
    coordinator.onPull(0, 0);
    assertThat(
        "the next step waits",
        coordinator.dispatch(List.of(engine("e", 0, 8, 0)), "z", now),
        hasSize(1));
    coordinator.onTrainerVersion(1, now);
    coordinator.onPull(1, 0);
    assertThat(coordinator.dispatch(List.of(engine("f", 0, 8, 0)), "z", now), empty());
    assertThat(coordinator.dispatch(List.of(engine("f", 1, 8, 0)), "z", now), hasSize(1));
  }

  @Test
  void generationThatWouldBeTooStaleIsCancelled() {
    RunCoordinator coordinator = coordinator(TrainerSettings.Objective.IDLE_TIME, 1, 1);
    AttemptId attempt =
        generate(coordinator.dispatch(List.of(engine("e", 0, 4, 0)), "z", now).get(0)).attempt();
    coordinator.onSegment(attempt, tokens("e", 0, 1));
    coordinator.onTrainerVersion(STALENESS_BOUND + 1L, now);
    assertThat(
        coordinator.cancelStaleGenerations(), equalTo(List.of(new RunAction.Cancel(attempt))));
    assertThat(coordinator.discardedTokens(), equalTo(1L));
  }

  @Test
  void loweredStalenessBoundAppliesToCommittedSamples() {
    RunCoordinator coordinator = coordinator(TrainerSettings.Objective.IDLE_TIME, 1, 1);
    generateOne(coordinator, engine("e", 0, 4, 0), 0);
    commitAll(coordinator);
    coordinator.onTrainerVersion(STALENESS_BOUND, now);
    assertThat(coordinator.pull(0, 0, 10), hasSize(1));
    coordinator.setSettings(
        new TrainerSettings("m", 0, 1, 0, TrainerSettings.Objective.IDLE_TIME, ""));
    assertThat(coordinator.pull(0, 0, 10), empty());
  }
}
