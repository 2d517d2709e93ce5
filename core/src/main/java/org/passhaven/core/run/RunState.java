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
 * Replicated state of one shard, built by applying the records of its stream: lease, submitted
 * steps and positions of samples. The lease is in the stream that it protects, so the order of the
 * log decides between a holder and its successor: every reader ignores records of a stale epoch.
 * Not thread-safe.
 */
public final class RunState {
  /** Effect of applying one record. */
  public enum Effect {
    /** The record was a duplicate, of a stale epoch or invalid. */
    IGNORED,
    /** A node claimed the lease. */
    CLAIMED,
    /** The holder released the lease. */
    RELEASED,
    /** Another record of the current epoch was applied. */
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

  /** Applies one record. */
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
    // The writer of the claim holds the lease, even if the claim names another node, since later
    // records are checked by their writer.
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

  /** Returns the epoch of the newest valid claim; zero before the first. */
  public long epoch() {
    return epoch;
  }

  /** Returns the node that wrote the newest valid claim; null before the first. */
  public NodeId owner() {
    return owner;
  }

  /** Returns the peer address of the lease holder; empty before the first claim. */
  public String ownerAddress() {
    return ownerAddress;
  }

  /** Returns whether the holder released the lease. */
  public boolean released() {
    return released;
  }

  /** Returns the newest weight version of the trainer that is in the log. */
  public long trainerVersion() {
    return trainerVersion;
  }

  /** Returns whether the run has ended and accepts no more steps. */
  public boolean ended() {
    return ended;
  }

  /** Returns the open steps in order of their numbers. */
  public Collection<StepState> steps() {
    return steps.values();
  }

  /** Returns an open step; null if it is unknown or finished. */
  public StepState step(long step) {
    return steps.get(step);
  }

  /** Returns whether a step was submitted, including finished steps. */
  public boolean wasSubmitted(long step) {
    return step <= lastSubmitted;
  }

  /**
   * Returns the weight version that the trainer is expected to have when it pulls the samples of
   * {@code step}: it increases by one with each step after the last finished one.
   */
  public long expectedVersionAt(long step) {
    if (lastFinished != NONE) {
      return Math.max(trainerVersion, versionAtFinish + step - lastFinished);
    }
    long first = steps.isEmpty() ? step : steps.firstKey();
    return trainerVersion + Math.max(0, step - first);
  }

  /** Returns a snapshot of this state. */
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

  /** Restores a state from a snapshot. */
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
