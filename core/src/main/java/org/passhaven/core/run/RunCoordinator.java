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
 * Decisions of the owner of one shard in one epoch: which slots to generate where, what to commit,
 * what to hand over. Holds the content of samples, which is not in the log; a successor starts
 * without it. Pure: no clock, no I/O. Not thread-safe.
 */
public final class RunCoordinator {
  private static final int PRIORITY_SPAN = 1000;
  private static final long MOST_STEPS_BEHIND = 8;
  private static final long NONE = -1;
  private static final long SWAP_PATIENCE_MILLIS = 15_000;
  private static final long SHORT_SWAP_PATIENCE_MILLIS = 4_000;
  private final RunState state;
  private final long epoch;
  private TrainerSettings settings;
  private final DispatchPolicy policy;
  private final Map<Long, StepWork> work = new TreeMap<>();
  private final Map<StepPrompt, ServerId> affinity = new HashMap<>();
  private long trainerVersion;
  private long pulledStep = NONE;
  private long versionAtPull;
  private long versionSinceMillis = Long.MIN_VALUE / 2;
  private int roundRobin;
  private long discardedTokens;

  /**
   * Creates the owner's decisions for {@code epoch}; {@code state} is the fold, read but not
   * changed.
   */
  public RunCoordinator(
      RunState state, long epoch, TrainerSettings settings, DispatchPolicy policy) {
    this.state = Objects.requireNonNull(state, "state");
    this.epoch = epoch;
    this.settings = Objects.requireNonNull(settings, "settings");
    this.policy = Objects.requireNonNull(policy, "policy");
    onFolded();
  }

  /**
   * The fold moved on: takes in new steps, drops finished ones, marks commits that were read back.
   */
  public void onFolded() {
    trainerVersion = Math.max(trainerVersion, state.trainerVersion());
    work.keySet().removeIf(step -> state.step(step) == null);
    affinity.keySet().removeIf(key -> state.step(key.step()) == null);
    for (StepState step : state.steps()) {
      work.computeIfAbsent(step.step(), number -> new StepWork(step)).onFolded();
    }
  }

  /** A new configuration came into force; it holds for all that is not yet handed over. */
  public void setSettings(TrainerSettings newSettings) {
    settings = Objects.requireNonNull(newSettings, "newSettings");
  }

  /** The trainer stated its version; never goes back. */
  public void onTrainerVersion(long version, long nowMillis) {
    if (version > trainerVersion) {
      trainerVersion = version;
      versionSinceMillis = nowMillis;
    }
  }

  /** Newest version that the trainer stated. */
  public long trainerVersion() {
    return trainerVersion;
  }

  /** Tokens thrown away so far in this epoch. */
  public long discardedTokens() {
    return discardedTokens;
  }

  /** Generations to cancel because their samples would be over the bound when taken. */
  public List<RunAction> cancelOverAge() {
    List<RunAction> actions = new ArrayList<>();
    if (policy == DispatchPolicy.BASELINE) {
      return actions;
    }
    for (StepWork step : work.values()) {
      for (SlotWork slot : step.slots) {
        if (slot.phase == SlotWork.Phase.GENERATING && isOverAge(step, oldestVersion(slot))) {
          actions.add(new RunAction.Cancel(slot.attemptId(epoch, step.number())));
          discard(slot);
        }
      }
    }
    return actions;
  }

  /**
   * Generations to begin now, earliest step first. While the trainer waits for the last samples of
   * a step, samples of later steps stay off the engines that run them, since a fuller batch is a
   * slower one.
   */
  public List<RunAction> dispatch(
      Collection<EngineView> engines, String localZone, long nowMillis) {
    Set<ServerId> awaited = policy == DispatchPolicy.DEFAULT ? enginesOfPulledStep() : Set.of();
    EnginePicker picker = picker(engines, localZone);
    List<EngineView> others =
        engines.stream().filter(view -> !awaited.contains(view.id())).toList();
    EnginePicker pickerForLater = awaited.isEmpty() ? picker : picker(others, localZone);
    long newestServed = engines.stream().mapToLong(EngineView::version).max().orElse(0);
    List<RunAction> actions = new ArrayList<>();
    int stepsAhead = 0;
    for (StepWork step : work.values()) {
      if (mayStart(step)) {
        EnginePicker chosen = step.number() <= pulledStep ? picker : pickerForLater;
        int priority = settings.priority() * PRIORITY_SPAN - stepsAhead;
        dispatchStep(
            step, chosen, oldestAllowedFor(step, newestServed, nowMillis), priority, actions);
      }
      stepsAhead++;
    }
    roundRobin += actions.size();
    return actions;
  }

  private EnginePicker picker(Collection<EngineView> engines, String localZone) {
    return policy == DispatchPolicy.BASELINE
        ? new RoundRobinPicker(engines, roundRobin)
        : new LeastLoadedPicker(engines, localZone);
  }

  /** Engines that run samples for which the trainer waits. */
  public Set<ServerId> enginesOfPulledStep() {
    StepWork pulled = work.get(pulledStep);
    if (pulled == null) {
      return Set.of();
    }
    return pulled.slots.stream()
        .filter(slot -> slot.phase == SlotWork.Phase.GENERATING)
        .map(slot -> slot.engine)
        .collect(Collectors.toSet());
  }

  private void dispatchStep(
      StepWork step,
      EnginePicker picker,
      long oldestAllowed,
      int priority,
      List<RunAction> actions) {
    for (SlotWork slot : step.plannedFirstCommitted()) {
      StepPrompt prompt = new StepPrompt(step.number(), step.state.promptOf(slot.slot).index());
      Optional<EngineView> engine = picker.pick(oldestAllowed, affinity.get(prompt));
      if (engine.isEmpty()) {
        return;
      }
      affinity.put(prompt, engine.get().id());
      actions.add(begin(step, slot, engine.get(), priority));
    }
  }

  private RunAction begin(StepWork step, SlotWork slot, EngineView engine, int priority) {
    if (isOverAge(step, oldestVersion(slot))) {
      discard(slot);
    }
    slot.begin(engine.id());
    return new RunAction.Generate(
        slot.attemptId(epoch, step.number()),
        engine,
        step.state.promptOf(slot.slot),
        step.state.sampleIndexOf(slot.slot),
        List.copyOf(slot.segments),
        priority);
  }

  private boolean mayStart(StepWork step) {
    long ahead = expectedVersionAt(step.number()) - trainerVersion;
    boolean waitsForWeights =
        settings.objective() == TrainerSettings.Objective.STALENESS
            && policy == DispatchPolicy.DEFAULT;
    return ahead <= (waitsForWeights ? 0 : settings.stalenessBound());
  }

  /**
   * Oldest engine version that a new sample of the step may begin on: one that keeps it within the
   * bound when it is taken, and, while engines are about to swap to the trainer's version, that
   * version.
   */
  private long oldestAllowedFor(StepWork step, long newestServed, long nowMillis) {
    long withinBound = expectedVersionAt(step.number()) - settings.stalenessBound();
    if (policy == DispatchPolicy.BASELINE) {
      return withinBound;
    }
    boolean weighsStaleness = settings.objective() == TrainerSettings.Objective.STALENESS;
    long patience = weighsStaleness ? SWAP_PATIENCE_MILLIS : SHORT_SWAP_PATIENCE_MILLIS;
    boolean awaited = step.number() <= pulledStep && !weighsStaleness;
    if (nowMillis - versionSinceMillis < patience && !awaited) {
      return Math.max(withinBound, trainerVersion);
    }
    return Math.max(
        withinBound, weighsStaleness ? Math.min(newestServed, trainerVersion) : withinBound);
  }

  /** New tokens of a running attempt arrived; returns false if the attempt is no longer wanted. */
  public boolean onSegment(AttemptId attempt, Segment segment) {
    Optional<SlotWork> slot = running(attempt);
    slot.ifPresent(work -> work.append(segment));
    return slot.isPresent();
  }

  /** The engine finished an attempt. */
  public List<RunAction> onGenerated(AttemptId attempt) {
    Optional<SlotWork> slot = running(attempt);
    if (slot.isEmpty()) {
      return List.of();
    }
    SlotWork finished = slot.get();
    StepState step = state.step(attempt.step());
    if (finished.segments.isEmpty()) {
      finished.phase = SlotWork.Phase.PLANNED;
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
      finished.phase = SlotWork.Phase.READY;
      return List.of();
    }
    finished.phase = SlotWork.Phase.SCORING;
    return List.of(new RunAction.Score(attempt, finished.sample));
  }

  /** The scorer answered. */
  public void onScored(AttemptId attempt, double score) {
    find(attempt, SlotWork.Phase.SCORING)
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
              slot.phase = SlotWork.Phase.READY;
            });
  }

  /**
   * An attempt failed.
   *
   * @param keepTokens whether the tokens so far are whole and truthful, so that another engine may
   *     go on
   */
  public void onFailed(AttemptId attempt, boolean keepTokens) {
    running(attempt)
        .ifPresent(
            slot -> {
              if (!keepTokens) {
                discard(slot);
              }
              slot.phase = SlotWork.Phase.PLANNED;
            });
  }

  /** The record that commits all ready samples of one step; empty if there are none. */
  public Optional<LogRecord> commitReady() {
    for (StepWork step : work.values()) {
      List<Commit> commits = new ArrayList<>();
      for (SlotWork slot : step.slots) {
        if (slot.phase == SlotWork.Phase.READY) {
          commitOrDiscard(step, slot, commits);
        }
      }
      if (!commits.isEmpty()) {
        return Optional.of(new LogRecord.SamplesCommitted(epoch, step.number(), commits));
      }
    }
    return Optional.empty();
  }

  private void commitOrDiscard(StepWork step, SlotWork slot, List<Commit> commits) {
    if (isOverAge(step, slot.sample.oldestVersion())) {
      discard(slot);
      return;
    }
    if (slot.position < 0) {
      slot.position = step.nextPosition++;
    }
    slot.sample = slot.sample.atPosition(slot.position);
    slot.phase = SlotWork.Phase.COMMITTING;
    commits.add(
        new Commit(
            slot.position,
            slot.slot,
            slot.attempt,
            slot.sample.oldestVersion(),
            slot.sample.newestVersion(),
            SampleDigest.of(slot.sample)));
  }

  /**
   * Samples after a cursor, in order of position, as far as they are there. One that has grown
   * older than the bound is thrown away, to be regenerated into the same position.
   */
  public List<Sample> pull(long step, long cursor, int most) {
    StepWork stepWork = work.get(step);
    List<Sample> samples = new ArrayList<>();
    if (stepWork == null) {
      return samples;
    }
    for (long position = cursor; samples.size() < most; position++) {
      SlotWork slot = stepWork.atPosition(position);
      if (slot == null || slot.phase != SlotWork.Phase.COMMITTED) {
        break;
      }
      if (trainerVersion - slot.sample.oldestVersion() > settings.stalenessBound()) {
        discardAllOverAge(stepWork);
        break;
      }
      samples.add(slot.sample);
    }
    return samples;
  }

  private void discardAllOverAge(StepWork step) {
    for (SlotWork slot : step.slots) {
      boolean held = slot.phase == SlotWork.Phase.COMMITTED;
      if (held && trainerVersion - slot.sample.oldestVersion() > settings.stalenessBound()) {
        discard(slot);
      }
    }
  }

  /**
   * The trainer asked for a step's samples after a cursor: it keeps all before, and takes this step
   * at the version that it is at now. Content that an earlier owner lost is generated again from
   * here on.
   */
  public void onPull(long step, long cursor) {
    if (step >= pulledStep) {
      pulledStep = step;
      versionAtPull = trainerVersion;
    }
    StepWork stepWork = work.get(step);
    if (stepWork != null) {
      stepWork.acknowledge(cursor);
    }
  }

  /** Open steps so far behind the one that is pulled that the trainer must be done with them. */
  public List<Long> abandonedSteps() {
    return work.keySet().stream().filter(step -> step < pulledStep - MOST_STEPS_BEHIND).toList();
  }

  /** Version that the trainer will be at when it takes a step's samples, as far as can be told. */
  private long expectedVersionAt(long step) {
    long expected =
        pulledStep == NONE
            ? state.expectedVersionAt(step)
            : versionAtPull + Math.max(0, step - pulledStep);
    return Math.max(trainerVersion, expected);
  }

  private boolean isOverAge(StepWork step, long oldestVersion) {
    long expected = expectedVersionAt(step.number());
    return oldestVersion != Long.MAX_VALUE && expected - oldestVersion > settings.stalenessBound();
  }

  private static long oldestVersion(SlotWork slot) {
    return slot.segments.stream().mapToLong(Segment::version).min().orElse(Long.MAX_VALUE);
  }

  private void discard(SlotWork slot) {
    discardedTokens += slot.segments.stream().mapToInt(segment -> segment.tokens().length).sum();
    slot.reset();
  }

  private Optional<SlotWork> running(AttemptId attempt) {
    return find(attempt, SlotWork.Phase.GENERATING);
  }

  private Optional<SlotWork> find(AttemptId attempt, SlotWork.Phase phase) {
    StepWork step = work.get(attempt.step());
    if (step == null || attempt.epoch() != epoch) {
      return Optional.empty();
    }
    SlotWork slot = step.slots.get(attempt.slot());
    return slot.attempt == attempt.attempt() && slot.phase == phase
        ? Optional.of(slot)
        : Optional.empty();
  }

  private record StepPrompt(long step, int prompt) {}
}
