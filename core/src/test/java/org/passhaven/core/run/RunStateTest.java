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

/** Guards against replicas of a shard's state that differ or accept records of a stale epoch. */
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

  private RunState startedRun() {
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
  void recordOfAStaleEpochIsIgnored() {
    RunState state = startedRun();
    state.apply(entry(B, claim(2, B)));
    assertThat(state.apply(entry(A, commit(1, 0, 0, 1))), equalTo(RunState.Effect.IGNORED));
    assertThat(state.step(STEP).nextPosition(), equalTo(0));
  }

  @Test
  void duplicateRecordIsIgnored() {
    RunState state = startedRun();
    LogEntry original = entry(A, commit(1, 0, 2, 1));
    assertThat(state.apply(original), equalTo(RunState.Effect.APPLIED));
    assertThat(state.apply(original), equalTo(RunState.Effect.IGNORED));
  }

  @Test
  void regeneratedSlotKeepsItsPosition() {
    RunState state = startedRun();
    state.apply(entry(A, commit(1, 0, 2, 1)));
    state.apply(entry(A, commit(1, 1, 2, 2)));
    assertThat("a second position for the slot", state.step(STEP).nextPosition(), equalTo(1));
    state.apply(entry(A, commit(1, 0, 2, 2)));
    assertThat(state.step(STEP).commitAt(0).attempt(), equalTo(2));
  }

  @Test
  void recordsAfterAReleaseAreIgnored() {
    RunState state = startedRun();
    assertThat(
        state.apply(entry(A, new LogRecord.LeaseReleased(1))), equalTo(RunState.Effect.RELEASED));
    assertThat(state.apply(entry(A, commit(1, 0, 0, 1))), equalTo(RunState.Effect.IGNORED));
  }

  @Test
  void stepIsSubmittedOnlyOnce() {
    RunState state = startedRun();
    state.apply(entry(A, commit(1, 0, 0, 1)));
    state.apply(entry(A, step(1)));
    assertThat(state.step(STEP).nextPosition(), equalTo(1));
    state.apply(entry(A, new LogRecord.StepFinished(1, STEP)));
    state.apply(entry(A, step(1)));
    assertThat("a finished step comes back", state.step(STEP) == null);
    assertThat("submitted before", state.wasSubmitted(STEP));
  }

  @Test
  void restoredSnapshotHasTheSameStateAndIgnoresTheSameDuplicates() {
    RunState state = startedRun();
    LogEntry original = entry(A, commit(1, 0, 3, 1));
    state.apply(original);
    byte[] encoded = Codec.encode(state.toSnapshot());
    RunState restored = RunState.fromSnapshot(Codec.decode(encoded, RunSnapshot.class));
    assertThat(restored.apply(original), equalTo(RunState.Effect.IGNORED));
    assertThat(restored.step(STEP).positionOf(3), equalTo(0));
    assertThat(restored.toSnapshot(), equalTo(state.toSnapshot()));
  }

  @Test
  void stateMatchesTheSpecificationForRandomLogs() {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(20261202L);
    int commits = 0;
    for (int round = 0; round < 2_000; round++) {
      RunState state = startedRun();
      SpecificationModel specification = new SpecificationModel();
      specification.step(new LogEntry(new RecordId(A, 1, sequence - 1), claim(1, A)));
      List<LogEntry> sentEntries = new ArrayList<>();
      for (int i = 0; i < 20; i++) {
        LogEntry entry =
            !sentEntries.isEmpty() && random.nextInt(4) == 0
                ? sentEntries.get(random.nextInt(sentEntries.size()))
                : entry(random.nextBoolean() ? A : B, randomRecord(random));
        sentEntries.add(entry);
        state.apply(entry);
        specification.step(entry);
        commits += specification.bound.size();
        assertThat(state.epoch(), equalTo(specification.epoch));
        assertThat(state.owner(), equalTo(specification.owner));
        assertThat(
            state.step(STEP).commits().stream()
                .map(c -> new SpecificationModel.Bound(c.slot(), c.attempt()))
                .toList(),
            equalTo(specification.bound));
      }
    }
    assertThat("commits took effect", commits, greaterThan(1_000));
  }

  private static LogRecord randomRecord(UniformRandomProvider random) {
    int epoch = 1 + random.nextInt(3);
    return random.nextInt(4) == 0
        ? claim(epoch, random.nextBoolean() ? A : B)
        : commit(epoch, random.nextInt(SLOTS), random.nextInt(SLOTS), 1 + random.nextInt(3));
  }
}
