package org.passhaven.node.run;

import io.smallrye.mutiny.subscription.Cancellable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.passhaven.core.run.AttemptId;
import org.passhaven.core.run.RunAction;
import org.passhaven.node.NodeContext;
import org.passhaven.node.backend.EngineDirectory;
import org.passhaven.protocol.Segment;
import org.passhaven.protocol.ServerId;
import org.passhaven.spi.EngineService;

/**
 * Runs generation attempts on engines and reports their results to a listener. Nothing more is
 * reported about an attempt once it is cancelled.
 */
final class GenerationRunner {
  private static final long STALL_TIMEOUT_MILLIS = 120_000;
  private static final long UNRESPONSIVE_ENGINE_STALL_TIMEOUT_MILLIS = 3_000;

  /** Receives the tokens and the outcome of attempts. */
  interface Listener {
    /** Accepts new tokens; returns false if the attempt should be cancelled. */
    boolean onSegment(AttemptId attempt, Segment segment);

    /** Called when the attempt has generated the complete sample. */
    void onGenerated(AttemptId attempt);

    /**
     * Called when the attempt failed.
     *
     * @param keepTokens whether the tokens received so far are valid and may be kept
     */
    void onFailed(AttemptId attempt, boolean keepTokens);
  }

  private final NodeContext context;
  private final EngineDirectory engines;
  private final Listener listener;
  private final Map<AttemptId, RunningAttempt> running = new HashMap<>();

  GenerationRunner(NodeContext context, EngineDirectory engines, Listener listener) {
    this.context = Objects.requireNonNull(context, "context");
    this.engines = Objects.requireNonNull(engines, "engines");
    this.listener = Objects.requireNonNull(listener, "listener");
  }

  /** Starts a generation; {@code requestId} must be unique across all owners and attempts. */
  void start(RunAction.Generate generate, String requestId, String model) {
    AttemptId attempt = generate.attempt();
    EngineService.GenerationRequest request =
        new EngineService.GenerationRequest(
            requestId,
            model,
            generate.prompt().text(),
            generate.prompt().seed() + generate.sampleIndex(),
            EngineService.tokensOf(generate.prefix()),
            generate.priority());
    RunningAttempt entry = new RunningAttempt(generate.engine().id(), context.timers().nowMillis());
    running.put(attempt, entry);
    engines.onGenerationStarted(entry.engine);
    context.metrics().generationsBegun.increment();
    entry.subscription =
        context
            .platform()
            .engines()
            .generate(generate.engine().address(), request)
            .subscribe()
            .with(
                segment -> onSegment(attempt, segment),
                failure -> onFailed(attempt),
                () -> onFinished(attempt));
  }

  private void onSegment(AttemptId attempt, Segment segment) {
    RunningAttempt entry = running.get(attempt);
    if (entry == null) {
      return;
    }
    if (!entry.engine.equals(segment.engine())
        || !entry.acceptsIncarnation(segment.incarnation())) {
      // Another engine or incarnation responded on this stream: its version can't be trusted.
      cancel(attempt);
      listener.onFailed(attempt, false);
      return;
    }
    entry.lastProgressMillis = context.timers().nowMillis();
    engines.onVersionObserved(segment.engine(), segment.incarnation(), segment.version());
    if (!listener.onSegment(attempt, segment)) {
      cancel(attempt);
    }
  }

  private void onFinished(AttemptId attempt) {
    if (end(attempt, false)) {
      listener.onGenerated(attempt);
    }
  }

  private void onFailed(AttemptId attempt) {
    if (end(attempt, true)) {
      context.metrics().generationsFailed.increment();
      listener.onFailed(attempt, true);
    }
  }

  private boolean end(AttemptId attempt, boolean failed) {
    RunningAttempt entry = running.remove(attempt);
    if (entry != null) {
      engines.onGenerationEnded(entry.engine, failed);
    }
    return entry != null;
  }

  /** Fails the attempts whose engine has sent no tokens within the stall timeout. */
  void failStalled() {
    long now = context.timers().nowMillis();
    List<AttemptId> stalled = new ArrayList<>();
    running.forEach(
        (attempt, entry) -> {
          long timeoutMillis =
              engines.isAnswering(entry.engine)
                  ? STALL_TIMEOUT_MILLIS
                  : UNRESPONSIVE_ENGINE_STALL_TIMEOUT_MILLIS;
          if (now - entry.lastProgressMillis > timeoutMillis) {
            stalled.add(attempt);
          }
        });
    for (AttemptId attempt : stalled) {
      Cancellable subscription = running.get(attempt).subscription;
      onFailed(attempt);
      if (subscription != null) {
        subscription.cancel();
      }
    }
  }

  /** Cancels an attempt; does nothing if it has ended. */
  void cancel(AttemptId attempt) {
    RunningAttempt entry = running.remove(attempt);
    if (entry != null) {
      stop(entry);
    }
  }

  /** Cancels all attempts. */
  void cancelAll() {
    List<RunningAttempt> all = List.copyOf(running.values());
    running.clear();
    all.forEach(this::stop);
  }

  private void stop(RunningAttempt entry) {
    engines.onGenerationEnded(entry.engine, false);
    if (entry.subscription != null) {
      entry.subscription.cancel();
    }
  }

  /** Represents an attempt in progress on an engine. */
  private static final class RunningAttempt {
    private static final long NO_INCARNATION = Long.MIN_VALUE;
    final ServerId engine;
    Cancellable subscription;
    long lastProgressMillis;
    private long incarnation = NO_INCARNATION;

    RunningAttempt(ServerId engine, long nowMillis) {
      this.engine = engine;
      this.lastProgressMillis = nowMillis;
    }

    boolean acceptsIncarnation(long reported) {
      if (incarnation == NO_INCARNATION) {
        incarnation = reported;
      }
      return incarnation == reported;
    }
  }
}
