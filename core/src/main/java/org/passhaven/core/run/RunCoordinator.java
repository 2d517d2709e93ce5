package org.passhaven.core.run;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.passhaven.core.configuration.TrainerSettings;
import org.passhaven.core.routing.DispatchPolicy;
import org.passhaven.core.routing.EnginePicker;
import org.passhaven.core.routing.EngineView;
import org.passhaven.core.routing.LeastLoadedPicker;
import org.passhaven.core.routing.RoundRobinPicker;
import org.passhaven.protocol.LogRecord;
import org.passhaven.protocol.LogRecord.Commit;
import org.passhaven.protocol.Sample;
import org.passhaven.protocol.Segment;
import org.passhaven.protocol.ServerId;

/**
 * Schedules the generation, commit and delivery of samples for the owner of one shard during one
 * lease epoch, such that no sample exceeds the staleness bound when the trainer pulls it. The
 * content of samples is held in memory only and not in the log, so a new owner starts without it.
 * Performs no I/O and reads no clock. Not thread-safe.
 */
public final class RunCoordinator {
  /** Number of engine priorities per configured priority; earlier steps get higher ones. */
  private static final int PRIORITIES_PER_LEVEL = 1000;

  private static final long MAX_STEPS_BEHIND = 8;
  private static final long NO_STEP = -1;
  private static final long SWAP_WAIT_MILLIS = 15_000;
  private static final long SHORT_SWAP_WAIT_MILLIS = 4_000;
  private final RunState state;
  private final long epoch;
  private TrainerSettings settings;
  private final DispatchPolicy policy;
  private final Map<Long, StepProgress> progressByStep = new TreeMap<>();
  private final Map<StepPrompt, ServerId> engineByPrompt = new HashMap<>();
  private long trainerVersion;
  private long pulledStep = NO_STEP;
  private long versionAtPull;
  private long versionReportedAtMillis = Long.MIN_VALUE / 2;
  private int roundRobinOffset;
  private long discardedTokens;

  /**
   * Creates the coordinator for {@code epoch}; {@code state} is the replicated state of the shard,
   * which is read but not modified.
   */
  public RunCoordinator(
      RunState state, long epoch, TrainerSettings settings, DispatchPolicy policy) {
    this.state = Objects.requireNonNull(state, "state");
    this.epoch = epoch;
    this.settings = Objects.requireNonNull(settings, "settings");
    this.policy = Objects.requireNonNull(policy, "policy");
    onStateChanged();
  }

  /**
   * Follows a change of the replicated state: adds new steps, drops finished ones and marks commits
   * that were read back from the log.
   */
  public void onStateChanged() {
    trainerVersion = Math.max(trainerVersion, state.trainerVersion());
    progressByStep.keySet().removeIf(step -> state.step(step) == null);
    engineByPrompt.keySet().removeIf(key -> state.step(key.step()) == null);
    for (StepState step : state.steps()) {
      progressByStep.computeIfAbsent(step.step(), number -> new StepProgress(step)).markCommitted();
    }
  }

  /** Applies new settings, also to samples that are generated but not yet delivered. */
  public void setSettings(TrainerSettings newSettings) {
    settings = Objects.requireNonNull(newSettings, "newSettings");
  }

  /** Records the weight version that the trainer reports; lower versions are ignored. */
  public void onTrainerVersion(long version, long nowMillis) {
    if (version > trainerVersion) {
      trainerVersion = version;
      versionReportedAtMillis = nowMillis;
    }
  }

  /** Returns the newest weight version that the trainer reported. */
  public long trainerVersion() {
    return trainerVersion;
  }

  /** Returns the number of tokens discarded in this epoch. */
  public long discardedTokens() {
    return discardedTokens;
  }

  /**
   * Cancels generations whose samples would exceed the staleness bound when the trainer pulls them,
   * and returns the actions for it.
   */
  public List<RunAction> cancelStaleGenerations() {
    List<RunAction> actions = new ArrayList<>();
    if (policy == DispatchPolicy.BASELINE) {
      return actions;
    }
    for (StepProgress step : progressByStep.values()) {
      for (SlotProgress slot : step.slots) {
        if (slot.phase == SlotProgress.Phase.GENERATING
            && exceedsStalenessBound(step, oldestVersion(slot))) {
          actions.add(new RunAction.Cancel(slot.attemptId(epoch, step.stepNumber())));
          discard(slot);
        }
      }
    }
    return actions;
  }

  /**
   * Returns the generations to start now, earliest step first. Samples of later steps avoid engines
   * that run samples which the trainer waits for, since a larger batch slows each of its samples.
   */
  public List<RunAction> dispatch(
      Collection<EngineView> engines, String localZone, long nowMillis) {
    Set<ServerId> awaitedEngines =
        policy == DispatchPolicy.DEFAULT ? enginesOfPulledStep() : Set.of();
    EnginePicker picker = picker(engines, localZone);
    List<EngineView> otherEngines =
        engines.stream().filter(view -> !awaitedEngines.contains(view.id())).toList();
    EnginePicker pickerForLater =
        awaitedEngines.isEmpty() ? picker : picker(otherEngines, localZone);
    long newestServed = engines.stream().mapToLong(EngineView::version).max().orElse(0);
    List<RunAction> actions = new ArrayList<>();
    int stepsAhead = 0;
    for (StepProgress step : progressByStep.values()) {
      if (mayGenerate(step)) {
        EnginePicker stepPicker = step.stepNumber() <= pulledStep ? picker : pickerForLater;
        int priority = settings.priority() * PRIORITIES_PER_LEVEL - stepsAhead;
        dispatchStep(
            step,
            stepPicker,
            oldestAllowedVersion(step, newestServed, nowMillis),
            priority,
            actions);
      }
      stepsAhead++;
    }
    roundRobinOffset += actions.size();
    return actions;
  }

  private EnginePicker picker(Collection<EngineView> engines, String localZone) {
    return policy == DispatchPolicy.BASELINE
        ? new RoundRobinPicker(engines, roundRobinOffset)
        : new LeastLoadedPicker(engines, localZone);
  }

  /** Returns the engines that run samples of the step that the trainer pulls. */
  public Set<ServerId> enginesOfPulledStep() {
    StepProgress pulled = progressByStep.get(pulledStep);
    if (pulled == null) {
      return Set.of();
    }
    return pulled.slots.stream()
        .filter(slot -> slot.phase == SlotProgress.Phase.GENERATING)
        .map(slot -> slot.engine)
        .collect(Collectors.toSet());
  }

  private void dispatchStep(
      StepProgress step,
      EnginePicker picker,
      long oldestAllowed,
      int priority,
      List<RunAction> actions) {
    for (SlotProgress slot : step.plannedSlots()) {
      StepPrompt prompt =
          new StepPrompt(step.stepNumber(), step.state.promptOf(slot.index).index());
      Optional<EngineView> engine = picker.pick(oldestAllowed, engineByPrompt.get(prompt));
      if (engine.isEmpty()) {
        return;
      }
      engineByPrompt.put(prompt, engine.get().id());
      actions.add(startGeneration(step, slot, engine.get(), priority));
    }
  }

  private RunAction startGeneration(
      StepProgress step, SlotProgress slot, EngineView engine, int priority) {
    if (exceedsStalenessBound(step, oldestVersion(slot))) {
      discard(slot);
    }
    slot.startAttempt(engine.id());
    return new RunAction.Generate(
        slot.attemptId(epoch, step.stepNumber()),
        engine,
        step.state.promptOf(slot.index),
        step.state.sampleIndexOf(slot.index),
        List.copyOf(slot.segments),
        priority);
  }

  private boolean mayGenerate(StepProgress step) {
    long ahead = expectedVersionAt(step.stepNumber()) - trainerVersion;
    boolean waitsForWeights =
        settings.objective() == TrainerSettings.Objective.STALENESS
            && policy == DispatchPolicy.DEFAULT;
    return ahead <= (waitsForWeights ? 0 : settings.stalenessBound());
  }

  /**
   * Returns the oldest weight version that may generate a new sample of the step. It keeps the
   * sample within the staleness bound when it is pulled. For some time after the trainer reported a
   * version, it is that version, since engines are expected to swap to it; a step that the trainer
   * already waits for does not wait for this unless staleness is to be minimized.
   */
  private long oldestAllowedVersion(StepProgress step, long newestServed, long nowMillis) {
    long withinBound = expectedVersionAt(step.stepNumber()) - settings.stalenessBound();
    if (policy == DispatchPolicy.BASELINE) {
      return withinBound;
    }
    boolean minimizesStaleness = settings.objective() == TrainerSettings.Objective.STALENESS;
    long swapWaitMillis = minimizesStaleness ? SWAP_WAIT_MILLIS : SHORT_SWAP_WAIT_MILLIS;
    boolean isAwaited = step.stepNumber() <= pulledStep && !minimizesStaleness;
    if (nowMillis - versionReportedAtMillis < swapWaitMillis && !isAwaited) {
      return Math.max(withinBound, trainerVersion);
    }
    return Math.max(
        withinBound, minimizesStaleness ? Math.min(newestServed, trainerVersion) : withinBound);
  }

  /** Adds new tokens to a running attempt; returns false if the attempt is no longer needed. */
  public boolean onSegment(AttemptId attempt, Segment segment) {
    Optional<SlotProgress> slot = findGenerating(attempt);
    slot.ifPresent(progress -> progress.append(segment));
    return slot.isPresent();
  }

  /** Handles the completion of an attempt and returns the score request, if one is needed. */
  public List<RunAction> onGenerated(AttemptId attempt) {
    Optional<SlotProgress> slot = findGenerating(attempt);
    if (slot.isEmpty()) {
      return List.of();
    }
    SlotProgress finished = slot.get();
    StepState step = state.step(attempt.step());
    if (finished.segments.isEmpty()) {
      finished.phase = SlotProgress.Phase.PLANNED;
      return List.of();
    }
    finished.sample =
        new Sample(
            finished.position,
            step.promptOf(attempt.slot()).index(),
            step.sampleIndexOf(attempt.slot()),
            attempt.attempt(),
            finished.segments,
            Double.NaN);
    if (settings.scorer().isEmpty()) {
      finished.phase = SlotProgress.Phase.READY;
      return List.of();
    }
    finished.phase = SlotProgress.Phase.SCORING;
    return List.of(new RunAction.Score(attempt, finished.sample));
  }

  /** Stores the score of a sample, which is then ready to commit. */
  public void onScored(AttemptId attempt, double score) {
    find(attempt, SlotProgress.Phase.SCORING)
        .ifPresent(
            slot -> {
              Sample sample = slot.sample;
              slot.sample =
                  new Sample(
                      sample.position(),
                      sample.promptIndex(),
                      sample.sampleIndex(),
                      sample.attempt(),
                      sample.segments(),
                      score);
              slot.phase = SlotProgress.Phase.READY;
            });
  }

  /**
   * Schedules a failed attempt again.
   *
   * @param keepTokens whether the tokens so far are intact, so that another engine may continue
   *     them
   */
  public void onFailed(AttemptId attempt, boolean keepTokens) {
    findGenerating(attempt)
        .ifPresent(
            slot -> {
              if (!keepTokens) {
                discard(slot);
              }
              slot.phase = SlotProgress.Phase.PLANNED;
            });
  }

  /** Returns the record that commits all ready samples of one step; empty if there are none. */
  public Optional<LogRecord> commitReady() {
    for (StepProgress step : progressByStep.values()) {
      List<Commit> commits = new ArrayList<>();
      for (SlotProgress slot : step.slots) {
        if (slot.phase == SlotProgress.Phase.READY) {
          commitOrDiscard(step, slot, commits);
        }
      }
      if (!commits.isEmpty()) {
        return Optional.of(new LogRecord.SamplesCommitted(epoch, step.stepNumber(), commits));
      }
    }
    return Optional.empty();
  }

  private void commitOrDiscard(StepProgress step, SlotProgress slot, List<Commit> commits) {
    if (exceedsStalenessBound(step, slot.sample.oldestVersion())) {
      discard(slot);
      return;
    }
    if (slot.position < 0) {
      slot.position = step.nextPosition++;
    }
    slot.sample = slot.sample.atPosition(slot.position);
    slot.phase = SlotProgress.Phase.COMMITTING;
    commits.add(
        new Commit(
            slot.position,
            slot.index,
            slot.attempt,
            slot.sample.oldestVersion(),
            slot.sample.newestVersion(),
            SampleDigest.of(slot.sample)));
  }

  /**
   * Returns the available samples from a cursor on, in order of position and without gaps. Samples
   * that exceed the staleness bound by now are discarded and regenerated at the same position.
   */
  public List<Sample> pull(long step, long cursor, int maxSamples) {
    StepProgress stepProgress = progressByStep.get(step);
    List<Sample> samples = new ArrayList<>();
    if (stepProgress == null) {
      return samples;
    }
    for (long position = cursor; samples.size() < maxSamples; position++) {
      SlotProgress slot = stepProgress.slotAt(position);
      if (slot == null || slot.phase != SlotProgress.Phase.COMMITTED) {
        break;
      }
      if (trainerVersion - slot.sample.oldestVersion() > settings.stalenessBound()) {
        discardStaleSamples(stepProgress);
        break;
      }
      samples.add(slot.sample);
    }
    return samples;
  }

  private void discardStaleSamples(StepProgress step) {
    for (SlotProgress slot : step.slots) {
      boolean isCommitted = slot.phase == SlotProgress.Phase.COMMITTED;
      if (isCommitted && trainerVersion - slot.sample.oldestVersion() > settings.stalenessBound()) {
        discard(slot);
      }
    }
  }

  /**
   * Records that the trainer pulls a step's samples from a cursor on. This acknowledges all samples
   * before the cursor and schedules the later samples, including the one at the cursor, whose
   * content was lost with an earlier owner.
   */
  public void onPull(long step, long cursor) {
    if (step >= pulledStep) {
      pulledStep = step;
      versionAtPull = trainerVersion;
    }
    StepProgress stepProgress = progressByStep.get(step);
    if (stepProgress != null) {
      stepProgress.acknowledge(cursor);
    }
  }

  /** Returns open steps so far behind the pulled one that the trainer no longer needs them. */
  public List<Long> abandonedSteps() {
    return progressByStep.keySet().stream()
        .filter(step -> step < pulledStep - MAX_STEPS_BEHIND)
        .toList();
  }

  /** Returns the weight version that the trainer is expected to have when it pulls a step. */
  private long expectedVersionAt(long step) {
    long expected =
        pulledStep == NO_STEP
            ? state.expectedVersionAt(step)
            : versionAtPull + Math.max(0, step - pulledStep);
    return Math.max(trainerVersion, expected);
  }

  private boolean exceedsStalenessBound(StepProgress step, long oldestVersion) {
    long expected = expectedVersionAt(step.stepNumber());
    return oldestVersion != Long.MAX_VALUE && expected - oldestVersion > settings.stalenessBound();
  }

  private static long oldestVersion(SlotProgress slot) {
    return slot.segments.stream().mapToLong(Segment::version).min().orElse(Long.MAX_VALUE);
  }

  private void discard(SlotProgress slot) {
    discardedTokens += slot.segments.stream().mapToInt(segment -> segment.tokens().length).sum();
    slot.reset();
  }

  private Optional<SlotProgress> findGenerating(AttemptId attempt) {
    return find(attempt, SlotProgress.Phase.GENERATING);
  }

  private Optional<SlotProgress> find(AttemptId attempt, SlotProgress.Phase phase) {
    StepProgress step = progressByStep.get(attempt.step());
    if (step == null || attempt.epoch() != epoch) {
      return Optional.empty();
    }
    SlotProgress slot = step.slots.get(attempt.slot());
    return slot.attempt == attempt.attempt() && slot.phase == phase
        ? Optional.of(slot)
        : Optional.empty();
  }

  private record StepPrompt(long step, int prompt) {}
}
