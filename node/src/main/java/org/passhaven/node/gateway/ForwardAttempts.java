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

/** One request's attempts at servers that are under way. */
final class ForwardAttempts {
  private final GatewayContext context;
  private final ServerHealth health;
  private final Call call;
  private final ForwardPlan plan;
  private final Listener listener;
  private final Map<Integer, Cancellable> underWay = new HashMap<>();
  private final List<Timers.Timer> hedges = new ArrayList<>(2);
  private int begun;
  private boolean isOver;

  /** Hears what comes of attempts, each sent at a moment of the steady clock. */
  interface Listener {
    /** A server has answered. */
    void onAnswer(ServerEntry server, Answer answer, long sentAtMillis);

    /** An attempt has ended without an answer. */
    void onFailure(ServerEntry server, PlatformException failure, long sentAtMillis);

    /** A server has said nothing for so long that another one is to be asked beside it. */
    void onSilent(ServerEntry server);
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
   * Sends the request. An attempt beside another one that is silent goes over a new connection:
   * where kept ones have gone silent, both would else share their fate.
   */
  void send(ServerEntry server, boolean isBeside) {
    int attempt = begun++;
    long sentAt = context.now();
    health.onSent(server.start());
    underWay.put(attempt, () -> {});
    Call left = withTimeLeft(sentAt);
    Target target = ServerTargets.of(server);
    BackEndService backEnds = context.backEnds();
    Cancellable sending =
        (isBeside ? backEnds.callAnew(target, left) : backEnds.call(target, left))
            .onTermination()
            .invoke(() -> health.onEnded(server.start()))
            .subscribe()
            .with(
                answer -> {
                  underWay.remove(attempt);
                  listener.onAnswer(server, answer, sentAt);
                },
                failure -> {
                  underWay.remove(attempt);
                  listener.onFailure(server, PlatformException.from(failure), sentAt);
                });
    // An attempt may end within the call that sends it, and then nothing is left to wait for.
    if (underWay.replace(attempt, sending) == null) {
      return;
    }
    plan.hedgeAfterMillis()
        .ifPresent(
            after -> hedges.add(context.timers().after(after, () -> hedge(attempt, server))));
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
        Math.max(1, plan.leftMillis(nowMillis)));
  }

  private void hedge(int attempt, ServerEntry server) {
    if (!isOver && underWay.containsKey(attempt)) {
      listener.onSilent(server);
    }
  }

  /** Whether any is under way. */
  boolean isRunning() {
    return !underWay.isEmpty();
  }

  /** How many were begun. */
  int begun() {
    return begun;
  }

  /** The request is over: what is under way is cancelled, and nothing begins any more. */
  void cancel() {
    isOver = true;
    // A timer that waits on would keep the request's body in memory.
    hedges.forEach(Timers.Timer::cancel);
    List<Cancellable> running = List.copyOf(underWay.values());
    underWay.clear();
    running.forEach(Cancellable::cancel);
  }
}
