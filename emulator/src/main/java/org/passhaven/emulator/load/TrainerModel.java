package org.passhaven.emulator.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.passhaven.emulator.check.Checker;
import org.passhaven.protocol.Prompt;
import org.passhaven.protocol.Sample;
import org.passhaven.spi.Timers;

/**
 * A trainer: submits steps one ahead, pulls a step's samples until they are whole, trains on them,
 * publishes the next version. Idle time is the time in which it waits for samples.
 */
public final class TrainerModel {
  private static final long RETRY_MILLIS = 300;
  private static final long PROMPT_SEED_STRIDE = 1_000L;

  /**
   * Shape of a trainer's load.
   *
   * @param stepsAhead steps submitted beyond the one that is pulled
   */
  public record Settings(
      String name,
      int steps,
      int promptsPerStep,
      int samplesPerPrompt,
      long trainMillis,
      int stalenessBound,
      int stepsAhead,
      long pullWaitMillis,
      long seed) {
    /** Text of a prompt. */
    public String promptText(long step, int index) {
      return name + " step " + step + " prompt " + index + " of " + seed;
    }

    /** Seed of a prompt's first sample. */
    public long promptSeed(int index) {
      return seed + index * PROMPT_SEED_STRIDE;
    }
  }

  private final Settings settings;
  private final TrainerApi api;
  private final Timers timers;
  private final Checker checker;
  private final Runnable onDone;
  private final Map<Long, List<Prompt>> prompts = new HashMap<>();
  private long version;
  private long submittedThrough = -1;
  private long waitingSinceMillis;
  private long idleMillis;
  private long startedAtMillis;
  private long endedAtMillis = -1;
  private boolean submitting;

  /** Creates a trainer; {@code onDone} runs after its last step. */
  public TrainerModel(
      Settings settings, TrainerApi api, Timers timers, Checker checker, Runnable onDone) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.api = Objects.requireNonNull(api, "api");
    this.timers = Objects.requireNonNull(timers, "timers");
    this.checker = Objects.requireNonNull(checker, "checker");
    this.onDone = Objects.requireNonNull(onDone, "onDone");
  }

  /** Begins the first step. */
  public void start() {
    startedAtMillis = timers.nowMillis();
    beginStep(0);
  }

  /** Shape of its load. */
  public Settings settings() {
    return settings;
  }

  /** Whether the last step is trained. */
  public boolean isDone() {
    return endedAtMillis >= 0;
  }

  /** Time spent waiting for samples so far. */
  public long idleMillis() {
    return idleMillis;
  }

  /** Time since the start, up to the end of the last step. */
  public long totalMillis() {
    return (isDone() ? endedAtMillis : timers.nowMillis()) - startedAtMillis;
  }

  private void beginStep(long step) {
    waitingSinceMillis = timers.nowMillis();
    submitThrough(Math.min(settings.steps() - 1L, step + settings.stepsAhead()));
    pull(step, List.of());
  }

  private void submitThrough(long last) {
    if (submitting || submittedThrough >= last) {
      return;
    }
    submitting = true;
    long step = submittedThrough + 1;
    List<Prompt> batch = promptsOf(step);
    api.submit(settings.name(), step, batch, settings.samplesPerPrompt())
        .subscribe()
        .with(
            ignored -> {
              submitting = false;
              submittedThrough = step;
              submitThrough(last);
            },
            failure ->
                timers.after(
                    RETRY_MILLIS,
                    () -> {
                      submitting = false;
                      submitThrough(last);
                    }));
  }

  private List<Prompt> promptsOf(long step) {
    return prompts.computeIfAbsent(
        step,
        number -> {
          checker.onStepWanted(settings.promptsPerStep() * settings.samplesPerPrompt());
          List<Prompt> batch = new ArrayList<>();
          for (int index = 0; index < settings.promptsPerStep(); index++) {
            batch.add(
                new Prompt(index, settings.promptText(number, index), settings.promptSeed(index)));
          }
          return batch;
        });
  }

  private void pull(long step, List<Long> cursor) {
    if (submittedThrough < step) {
      timers.after(10, () -> pull(step, cursor));
      return;
    }
    api.pull(settings.name(), step, cursor, version, settings.pullWaitMillis())
        .subscribe()
        .with(
            pulled -> onPulled(step, pulled),
            failure -> timers.after(RETRY_MILLIS, () -> pull(step, cursor)));
  }

  private void onPulled(long step, TrainerApi.Pulled pulled) {
    for (Sample sample : pulled.samples()) {
      Prompt prompt = promptsOf(step).get(sample.promptIndex());
      checker.onSample(
          settings.name(),
          step,
          sample,
          prompt.text(),
          prompt.seed() + sample.sampleIndex(),
          version,
          settings.stalenessBound());
    }
    if (!pulled.complete()) {
      pull(step, pulled.cursor());
      return;
    }
    // The moved cursor is the acknowledgement; its answer does not matter.
    api.pull(settings.name(), step, pulled.cursor(), version, 0)
        .subscribe()
        .with(ignored -> {}, failure -> {});
    idleMillis += timers.nowMillis() - waitingSinceMillis;
    timers.after(settings.trainMillis(), () -> onTrained(step));
  }

  private void onTrained(long step) {
    prompts.remove(step);
    version++;
    if (step + 1 >= settings.steps()) {
      endedAtMillis = timers.nowMillis();
      onDone.run();
      return;
    }
    publish(version);
    beginStep(step + 1);
  }

  private void publish(long published) {
    api.stateVersion(settings.name(), published)
        .subscribe()
        .with(
            ignored -> {},
            failure ->
                timers.after(
                    RETRY_MILLIS,
                    () -> {
                      if (published == version) {
                        publish(published);
                      }
                    }));
  }
}
