package org.passhaven.core.run;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.LogEntry;
import org.passhaven.protocol.LogRecord;
import org.passhaven.protocol.LogRecord.Commit;
import org.passhaven.protocol.NodeId;
import org.passhaven.protocol.Prompt;
import org.passhaven.protocol.RecordId;

class RunStateTest {
  private static final NodeId A = new NodeId("a");
  private static final NodeId B = new NodeId("b");
  private static final long STEP = 0;
  private static final int SLOTS = 4;
  private long sequence;

  private LogEntry entry(NodeId writer, LogRecord record) {
    return new LogEntry(new RecordId(writer, 1, ++sequence), record);
  }

  private static LogRecord claim(long epoch, NodeId owner) {
    return new LogRecord.LeaseClaimed(epoch, owner, owner + ":1", 6_000);
  }

  private static LogRecord step(long epoch) {
    return new LogRecord.StepSubmitted(epoch, STEP, List.of(new Prompt(0, "p", 1)), SLOTS);
  }

  private static LogRecord commit(long epoch, long position, int slot, int attempt) {
    return new LogRecord.SamplesCommitted(
        epoch, STEP, List.of(new Commit(position, slot, attempt, 0, 0, 0)));
  }

  private RunState started() {
    RunState state = new RunState();
    state.apply(entry(A, claim(1, A)));
    state.apply(entry(A, step(1)));
    return state;
  }

  @Test
  void firstClaimOfAnEpochWins() {
    RunState state = new RunState();
    assertThat(state.apply(entry(A, claim(1, A))), equalTo(RunState.Effect.CLAIMED));
    assertThat(state.apply(entry(B, claim(1, B))), equalTo(RunState.Effect.IGNORED));
    assertThat(state.owner(), equalTo(A));
  }

  @Test
  void recordUnderAStaleEpochIsIgnored() {
    RunState state = started();
    state.apply(entry(B, claim(2, B)));
    assertThat(state.apply(entry(A, commit(1, 0, 0, 1))), equalTo(RunState.Effect.IGNORED));
    assertThat(state.step(STEP).nextPosition(), equalTo(0));
  }

  @Test
  void copyOfARecordIsIgnored() {
    RunState state = started();
    LogEntry once = entry(A, commit(1, 0, 2, 1));
    assertThat(state.apply(once), equalTo(RunState.Effect.APPLIED));
    assertThat(state.apply(once), equalTo(RunState.Effect.IGNORED));
  }

  @Test
  void slotKeepsItsPositionWhenItIsGeneratedAgain() {
    RunState state = started();
    state.apply(entry(A, commit(1, 0, 2, 1)));
    state.apply(entry(A, commit(1, 1, 2, 2)));
    assertThat("a second position for the slot", state.step(STEP).nextPosition(), equalTo(1));
    state.apply(entry(A, commit(1, 0, 2, 2)));
    assertThat(state.step(STEP).commitAt(0).attempt(), equalTo(2));
  }

  @Test
  void releasedLeaseTakesNoMoreRecords() {
    RunState state = started();
    assertThat(
        state.apply(entry(A, new LogRecord.LeaseReleased(1))), equalTo(RunState.Effect.RELEASED));
    assertThat(state.apply(entry(A, commit(1, 0, 0, 1))), equalTo(RunState.Effect.IGNORED));
  }

  @Test
  void submittedStepIsTakenOnce() {
    RunState state = started();
    state.apply(entry(A, commit(1, 0, 0, 1)));
    state.apply(entry(A, step(1)));
    assertThat(state.step(STEP).nextPosition(), equalTo(1));
    state.apply(entry(A, new LogRecord.StepFinished(1, STEP)));
    state.apply(entry(A, step(1)));
    assertThat("a finished step comes back", state.step(STEP) == null);
    assertThat("submitted before", state.wasSubmitted(STEP));
  }

  @Test
  void snapshotGivesTheSameStateAndIgnoresTheSameCopies() {
    RunState state = started();
    LogEntry once = entry(A, commit(1, 0, 3, 1));
    state.apply(once);
    byte[] image = Codec.encode(state.toSnapshot());
    RunState restored = RunState.fromSnapshot(Codec.decode(image, RunSnapshot.class));
    assertThat(restored.apply(once), equalTo(RunState.Effect.IGNORED));
    assertThat(restored.step(STEP).positionOf(3), equalTo(0));
    assertThat(restored.toSnapshot(), equalTo(state.toSnapshot()));
  }

  /**
   * The code's fold and the specification's give the same image for any log, so that they can't
   * drift apart.
   */
  @Test
  void foldIsThatOfTheSpecification() {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(20261202L);
    int commits = 0;
    for (int round = 0; round < 2_000; round++) {
      RunState state = started();
      SpecificationFold specification = new SpecificationFold();
      specification.step(new LogEntry(new RecordId(A, 1, sequence - 1), claim(1, A)));
      List<LogEntry> sent = new ArrayList<>();
      for (int i = 0; i < 20; i++) {
        LogEntry next =
            !sent.isEmpty() && random.nextInt(4) == 0
                ? sent.get(random.nextInt(sent.size()))
                : entry(random.nextBoolean() ? A : B, draw(random));
        sent.add(next);
        // A writer has one batch in flight, so a copy never overtakes the writer's later records
        // unseen.
        state.apply(next);
        specification.step(next);
        commits += specification.bound.size();
        assertThat(state.epoch(), equalTo(specification.epoch));
        assertThat(state.owner(), equalTo(specification.owner));
        assertThat(
            state.step(STEP).commits().stream()
                .map(c -> new SpecificationFold.Bound(c.slot(), c.attempt()))
                .toList(),
            equalTo(specification.bound));
      }
    }
    assertThat("commits took effect", commits, greaterThan(1_000));
  }

  private static LogRecord draw(UniformRandomProvider random) {
    int epoch = 1 + random.nextInt(3);
    return random.nextInt(4) == 0
        ? claim(epoch, random.nextBoolean() ? A : B)
        : commit(epoch, random.nextInt(SLOTS), random.nextInt(SLOTS), 1 + random.nextInt(3));
  }
}
