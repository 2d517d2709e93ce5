package org.passhaven.node.gateway;

import io.smallrye.mutiny.subscription.Cancellable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerHealth;
import org.passhaven.core.forward.ForwardPlan;
import org.passhaven.spi.BackEndService;
import org.passhaven.spi.BackEndService.Answer;
import org.passhaven.spi.BackEndService.Call;
import org.passhaven.spi.BackEndService.Target;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.Timers;

/** Sends the attempts of one request to servers, and schedules its hedged attempts. */
final class ForwardAttempts {
  private final GatewayContext context;
  private final ServerHealth health;
  private final Call call;
  private final ForwardPlan plan;
  private final Listener listener;
  private final Map<Integer, Sent> inProgress = new HashMap<>();
  private final List<Timers.Timer> hedgeTimers = new ArrayList<>(2);
  private int attemptsSent;
  private boolean isCancelled;

  /**
   * An attempt at a server.
   *
   * @param number position among the attempts of its request, from 1
   * @param isHedge whether another attempt was in progress when it was sent
   * @param sentAtMillis time of sending in monotonic milliseconds
   */
  record Attempt(ServerEntry server, int number, boolean isHedge, long sentAtMillis) {}

  /** An attempt in progress; cancelling closes its connection. */
  private record Sent(ServerEntry server, Cancellable call) {}

  /** Receives the result of each attempt. Times of sending are in monotonic milliseconds. */
  interface Listener {
    /** Called when a server has answered. */
    void onAnswer(Attempt attempt, Answer answer);

    /** Called when an attempt has ended without an answer. */
    void onFailure(ServerEntry server, PlatformException failure, long sentAtMillis);

    /** Called when a server has not answered within the hedge delay. */
    void onHedgeDue(ServerEntry server);
  }

  ForwardAttempts(
      GatewayContext context, ServerHealth health, Call call, ForwardPlan plan, Listener listener) {
    this.context = Objects.requireNonNull(context, "context");
    this.health = Objects.requireNonNull(health, "health");
    this.call = Objects.requireNonNull(call, "call");
    this.plan = Objects.requireNonNull(plan, "plan");
    this.listener = Objects.requireNonNull(listener, "listener");
  }

  /**
   * Sends the request to a server. A hedged attempt uses a new connection, since the pooled
   * connections may all be broken.
   *
   * @param isHedge whether another attempt is in progress
   */
  void send(ServerEntry server, boolean isHedge) {
    int attempt = attemptsSent++;
    long sentAtMillis = context.nowMillis();
    health.onSent(server.incarnation());
    inProgress.put(attempt, new Sent(server, () -> {}));
    Call attemptCall = withTimeLeft(sentAtMillis);
    Target target = ServerTargets.of(server);
    BackEndService backEnds = context.backEnds();
    Cancellable sending =
        (isHedge
                ? backEnds.callOnNewConnection(target, attemptCall)
                : backEnds.call(target, attemptCall))
            .onTermination()
            .invoke(() -> health.onEnded(server.incarnation()))
            .subscribe()
            .with(
                answer -> {
                  inProgress.remove(attempt);
                  listener.onAnswer(
                      new Attempt(server, attempt + 1, isHedge, sentAtMillis), answer);
                },
                failure -> {
                  inProgress.remove(attempt);
                  listener.onFailure(server, PlatformException.from(failure), sentAtMillis);
                });
    // The attempt may have ended during subscribe().
    if (inProgress.replace(attempt, new Sent(server, sending)) == null) {
      return;
    }
    plan.hedgeAfterMillis()
        .ifPresent(
            delayMillis ->
                hedgeTimers.add(
                    context.timers().after(delayMillis, () -> onHedgeTimer(attempt, server))));
  }

  private Call withTimeLeft(long nowMillis) {
    return new Call(
        call.id(),
        call.tenant(),
        call.method(),
        call.uri(),
        call.host(),
        call.headers(),
        call.body(),
        Math.max(1, plan.remainingMillis(nowMillis)),
        call.restriction());
  }

  private void onHedgeTimer(int attempt, ServerEntry server) {
    if (!isCancelled && inProgress.containsKey(attempt)) {
      listener.onHedgeDue(server);
    }
  }

  /** Returns whether any attempt is in progress. */
  boolean isInProgress() {
    return !inProgress.isEmpty();
  }

  /** Returns the number of attempts sent so far. */
  int attemptsSent() {
    return attemptsSent;
  }

  /** Cancels all attempts and hedge timers, when the request is over. */
  void cancel() {
    isCancelled = true;
    // A pending timer would keep the request's body in memory.
    hedgeTimers.forEach(Timers.Timer::cancel);
    List<Sent> running = List.copyOf(inProgress.values());
    inProgress.clear();
    running.forEach(this::cancel);
  }

  private void cancel(Sent attempt) {
    attempt.call().cancel();
    if (context.backEnds().isAnsweringWithoutEnd(ServerTargets.of(attempt.server()))) {
      health.onFailure(attempt.server().incarnation(), context.nowMillis());
    }
  }
}
