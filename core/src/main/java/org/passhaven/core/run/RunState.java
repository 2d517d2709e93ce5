package org.passhaven.core.run;

import java.util.Collection;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.TreeMap;
import org.passhaven.core.log.WriterPositions;
import org.passhaven.protocol.LogEntry;
import org.passhaven.protocol.LogRecord;
import org.passhaven.protocol.LogRecord.Commit;
import org.passhaven.protocol.LogRecord.Fenced;
import org.passhaven.protocol.NodeId;

/**
 * Fold of one shard's stream: lease, plan and delivery positions. The lease lives in the stream
 * that it protects, so the order of the log decides between a holder and its successor: a record
 * under a stale epoch is ignored by every reader in the same way. Not thread-safe.
 */
public final class RunState {
  /** What folding one record did. */
  public enum Effect {
    /** A copy, a stale epoch or a broken rule: ignored. */
    IGNORED,
    /** A claim succeeded. */
    CLAIMED,
    /** The holder's lease was given back. */
    RELEASED,
    /** Another record of the current epoch took effect. */
    APPLIED
  }

  private static final long NONE = -1;
  private final WriterPositions writers = new WriterPositions();
  private final NavigableMap<Long, StepState> steps = new TreeMap<>();
  private long epoch;
  private NodeId owner;
  private String ownerAddress = "";
  private boolean released;
  private long trainerVersion;
  private boolean ended;
  private long lastSubmitted = NONE;
  private long lastFinished = NONE;
  private long versionAtFinish;

  /** Folds one record. */
  public Effect apply(LogEntry entry) {
    if (!writers.accept(entry.id())) {
      return Effect.IGNORED;
    }
    if (entry.record() instanceof LogRecord.LeaseClaimed claim) {
      return claim(claim, entry.id().writer());
    }
    if (!(entry.record() instanceof Fenced fenced)) {
      return Effect.IGNORED;
    }
    if (fenced.epoch() != epoch || released || !entry.id().writer().equals(owner)) {
      return Effect.IGNORED;
    }
    return applyFenced(fenced);
  }

  private Effect claim(LogRecord.LeaseClaimed claim, NodeId writer) {
    if (claim.epoch() != epoch + 1) {
      return Effect.IGNORED;
    }
    epoch = claim.epoch();
    // Who wrote the claim holds the lease, whatever the claim says: records are checked by their
    // writer.
    owner = writer;
    ownerAddress = claim.ownerAddress();
    released = false;
    return Effect.CLAIMED;
  }

  private Effect applyFenced(Fenced record) {
    if (record instanceof LogRecord.LeaseReleased) {
      released = true;
      return Effect.RELEASED;
    } else if (record instanceof LogRecord.StepSubmitted submitted) {
      submit(submitted);
    } else if (record instanceof LogRecord.SamplesCommitted committed) {
      commit(committed);
    } else if (record instanceof LogRecord.StepFinished finished) {
      finish(finished.step());
    } else if (record instanceof LogRecord.TrainerVersionStated stated) {
      trainerVersion = Math.max(trainerVersion, stated.version());
    } else if (record instanceof LogRecord.RunEnded) {
      ended = true;
      steps.clear();
    }
    return Effect.APPLIED;
  }

  private void submit(LogRecord.StepSubmitted submitted) {
    if (ended || submitted.step() <= lastSubmitted) {
      return;
    }
    lastSubmitted = submitted.step();
    steps.put(
        submitted.step(),
        new StepState(submitted.step(), submitted.prompts(), submitted.samplesPerPrompt()));
  }

  private void commit(LogRecord.SamplesCommitted committed) {
    StepState step = steps.get(committed.step());
    if (step == null) {
      return;
    }
    for (Commit commit : committed.commits()) {
      step.apply(commit);
    }
  }

  private void finish(long step) {
    if (steps.remove(step) != null) {
      lastFinished = Math.max(lastFinished, step);
      versionAtFinish = trainerVersion;
    }
  }

  /** Epoch of the newest valid claim; zero before any. */
  public long epoch() {
    return epoch;
  }

  /** Holder of the newest valid claim; null before any. */
  public NodeId owner() {
    return owner;
  }

  /** Peer address of the holder; empty before any. */
  public String ownerAddress() {
    return ownerAddress;
  }

  /** Whether the holder gave the lease back. */
  public boolean released() {
    return released;
  }

  /** Newest weight version that the trainer stated durably. */
  public long trainerVersion() {
    return trainerVersion;
  }

  /** Whether the run takes no more steps. */
  public boolean ended() {
    return ended;
  }

  /** Open steps in order. */
  public Collection<StepState> steps() {
    return steps.values();
  }

  /** An open step; null if it is unknown or finished. */
  public StepState step(long step) {
    return steps.get(step);
  }

  /** Whether a step was submitted, be it finished or not. */
  public boolean wasSubmitted(long step) {
    return step <= lastSubmitted;
  }

  /**
   * Weight version that the trainer is expected to be at when it takes the samples of {@code step}:
   * one more for each step after the last finished one.
   */
  public long expectedVersionAt(long step) {
    if (lastFinished != NONE) {
      return Math.max(trainerVersion, versionAtFinish + step - lastFinished);
    }
    long first = steps.isEmpty() ? step : steps.firstKey();
    return trainerVersion + Math.max(0, step - first);
  }

  /** Image for a snapshot. */
  public RunSnapshot toSnapshot() {
    return new RunSnapshot(
        writers.toMap().entrySet().stream()
            .map(e -> new RunSnapshot.Writer(e.getKey(), e.getValue()))
            .toList(),
        epoch,
        owner,
        ownerAddress,
        released,
        trainerVersion,
        ended,
        lastSubmitted,
        lastFinished,
        versionAtFinish,
        steps.values().stream()
            .map(
                s -> new RunSnapshot.Step(s.step(), s.prompts(), s.samplesPerPrompt(), s.commits()))
            .toList());
  }

  /** State restored from a snapshot. */
  public static RunState fromSnapshot(RunSnapshot snapshot) {
    Objects.requireNonNull(snapshot, "snapshot");
    RunState state = new RunState();
    Map<NodeId, WriterPositions.Position> positions = new TreeMap<>();
    snapshot.writers().forEach(writer -> positions.put(writer.node(), writer.position()));
    state.writers.restore(positions);
    state.epoch = snapshot.epoch();
    state.owner = snapshot.owner();
    state.ownerAddress = snapshot.ownerAddress();
    state.released = snapshot.released();
    state.trainerVersion = snapshot.trainerVersion();
    state.ended = snapshot.ended();
    state.lastSubmitted = snapshot.lastSubmitted();
    state.lastFinished = snapshot.lastFinished();
    state.versionAtFinish = snapshot.versionAtFinish();
    for (RunSnapshot.Step step : snapshot.steps()) {
      StepState restored = new StepState(step.step(), step.prompts(), step.samplesPerPrompt());
      step.commits().forEach(restored::apply);
      state.steps.put(step.step(), restored);
    }
    return state;
  }
}
