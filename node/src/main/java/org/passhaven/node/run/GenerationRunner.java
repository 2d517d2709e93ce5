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
 * Runs generations on engines and tells what becomes of them. After {@link #cancelAll} or a cancel
 * nothing more is told of an attempt.
 */
final class GenerationRunner {
  private static final long STALL_LIMIT_MILLIS = 120_000;
  private static final long STALL_LIMIT_SILENT_ENGINE_MILLIS = 3_000;

  /** Hears what becomes of attempts. */
  interface Listener {
    /** New tokens; returns false if the attempt is no longer wanted. */
    boolean onSegment(AttemptId attempt, Segment segment);

    /** The sample is whole. */
    void onGenerated(AttemptId attempt);

    /** The attempt failed; {@code keepTokens} if those so far are truthful. */
    void onFailed(AttemptId attempt, boolean keepTokens);
  }

  private final NodeContext context;
  private final EngineDirectory engines;
  private final Listener listener;
  private final Map<AttemptId, Running> running = new HashMap<>();

  GenerationRunner(NodeContext context, EngineDirectory engines, Listener listener) {
    this.context = Objects.requireNonNull(context, "context");
    this.engines = Objects.requireNonNull(engines, "engines");
    this.listener = Objects.requireNonNull(listener, "listener");
  }

  /** Begins a generation; {@code requestId} is unique over all owners and attempts. */
  void begin(RunAction.Generate generate, String requestId, String model) {
    AttemptId attempt = generate.attempt();
    EngineService.GenerationRequest request =
        new EngineService.GenerationRequest(
            requestId,
            model,
            generate.prompt().text(),
            generate.prompt().seed() + generate.sampleIndex(),
            EngineService.tokensOf(generate.prefix()),
            generate.priority());
    Running entry = new Running(generate.engine().id(), context.timers().nowMillis());
    running.put(attempt, entry);
    engines.onGenerationStarted(entry.engine);
    context.metrics().generationsBegun.increment();
    entry.stop =
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
    Running entry = running.get(attempt);
    if (entry == null) {
      return;
    }
    if (!entry.engine.equals(segment.engine())
        || !entry.acceptsIncarnation(segment.incarnation())) {
      // Another engine or start answers under this stream: its versions can't be trusted.
      cancel(attempt);
      listener.onFailed(attempt, false);
      return;
    }
    entry.progressAtMillis = context.timers().nowMillis();
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
    Running entry = running.remove(attempt);
    if (entry != null) {
      engines.onGenerationEnded(entry.engine, failed);
    }
    return entry != null;
  }

  /** A stream from an engine that stopped answering may hang for ever: its attempt fails. */
  void failStalled() {
    long now = context.timers().nowMillis();
    List<AttemptId> stalled = new ArrayList<>();
    running.forEach(
        (attempt, entry) -> {
          long limit =
              engines.isAnswering(entry.engine)
                  ? STALL_LIMIT_MILLIS
                  : STALL_LIMIT_SILENT_ENGINE_MILLIS;
          if (now - entry.progressAtMillis > limit) {
            stalled.add(attempt);
          }
        });
    for (AttemptId attempt : stalled) {
      Cancellable stop = running.get(attempt).stop;
      onFailed(attempt);
      if (stop != null) {
        stop.cancel();
      }
    }
  }

  /** Stops an attempt; harmless if it has ended. */
  void cancel(AttemptId attempt) {
    Running entry = running.remove(attempt);
    if (entry != null) {
      stop(entry);
    }
  }

  /** Stops all attempts. */
  void cancelAll() {
    List<Running> all = List.copyOf(running.values());
    running.clear();
    all.forEach(this::stop);
  }

  private void stop(Running entry) {
    engines.onGenerationEnded(entry.engine, false);
    if (entry.stop != null) {
      entry.stop.cancel();
    }
  }

  private static final class Running {
    private static final long NO_INCARNATION = Long.MIN_VALUE;
    final ServerId engine;
    Cancellable stop;
    long progressAtMillis;
    private long incarnation = NO_INCARNATION;

    Running(ServerId engine, long nowMillis) {
      this.engine = engine;
      this.progressAtMillis = nowMillis;
    }

    boolean acceptsIncarnation(long reported) {
      if (incarnation == NO_INCARNATION) {
        incarnation = reported;
      }
      return incarnation == reported;
    }
  }
}
