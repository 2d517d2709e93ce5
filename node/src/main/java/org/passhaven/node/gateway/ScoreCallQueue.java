package org.passhaven.node.gateway;

import io.smallrye.mutiny.subscription.Cancellable;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Queue;
import java.util.function.Consumer;
import org.passhaven.core.admission.AdmissionRequest.Source;
import org.passhaven.core.job.JobAction;
import org.passhaven.core.job.JobScheduler;
import org.passhaven.core.route.Route;
import org.passhaven.protocol.job.ScoreCall;
import org.passhaven.spi.BackEndService.Call;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends the requests that score complete texts, with limited concurrency and in FIFO order. Not
 * thread-safe.
 */
final class ScoreCallQueue {
  private static final Logger LOG = LoggerFactory.getLogger(ScoreCallQueue.class);
  private static final long SCORE_TIMEOUT_MILLIS = 2_500;

  /** Limits the request bodies in memory; admission limits the calls per server. */
  private static final int MAX_CONCURRENT_CALLS = 48;

  private static final String POST = "POST";
  private final GatewayContext context;
  private final PlatformDirectory directory;
  private final RequestForwarder forwarder;
  private final JobScheduler scheduler;
  private final Consumer<List<JobAction>> actionHandler;
  private final Queue<JobAction.Score> queue = new ArrayDeque<>();
  private final Map<Long, CallInFlight> callsInFlight = new HashMap<>();
  private long nextCall;

  private record CallInFlight(String job, Cancellable forwarding) {}

  /**
   * Creates an empty queue.
   *
   * @param actionHandler receives the scheduler's actions after each call
   */
  ScoreCallQueue(
      GatewayContext context,
      PlatformDirectory directory,
      RequestForwarder forwarder,
      JobScheduler scheduler,
      Consumer<List<JobAction>> actionHandler) {
    this.context = Objects.requireNonNull(context, "context");
    this.directory = Objects.requireNonNull(directory, "directory");
    this.forwarder = Objects.requireNonNull(forwarder, "forwarder");
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.actionHandler = Objects.requireNonNull(actionHandler, "actionHandler");
  }

  /** Queues a scoring request; it is skipped if its job no longer runs here at its turn. */
  void enqueue(JobAction.Score score) {
    queue.add(score);
    sendNext();
  }

  /**
   * Drops the requests of a job that has stopped here: none may reach a server after the job's end,
   * nor score a text that the job makes anew when it runs here again.
   */
  void drop(String job) {
    queue.removeIf(score -> score.job().id().equals(job));
    // The newest first: those wait for a place that the older ones give back when they end.
    List<CallInFlight> dropped =
        callsInFlight.entrySet().stream()
            .filter(call -> call.getValue().job().equals(job))
            .sorted(Map.Entry.<Long, CallInFlight>comparingByKey().reversed())
            .map(Map.Entry::getValue)
            .toList();
    callsInFlight.values().removeAll(dropped);
    dropped.forEach(call -> call.forwarding().cancel());
    sendNext();
  }

  private void sendNext() {
    while (callsInFlight.size() < MAX_CONCURRENT_CALLS && !queue.isEmpty()) {
      JobAction.Score next = queue.poll();
      if (scheduler.isRunning(next.job().id())) {
        send(next);
      }
    }
  }

  private void send(JobAction.Score action) {
    ScoreCall score = action.item().score();
    String job = action.job().id();
    String item = action.item().id();
    Optional<Route> route = directory.routes().find(score.host(), score.path());
    if (route.isEmpty()) {
      actionHandler.accept(scheduler.onScoreFailed(job, item, 0, 1, 0, context.nowMillis()));
      return;
    }
    Call call =
        new Call(
            score.id(),
            "",
            POST,
            score.path(),
            score.host(),
            List.of(),
            score.body(),
            SCORE_TIMEOUT_MILLIS,
            directory.routes().tenants().restrictionOf(action.job().tenant()));
    long number = nextCall++;
    // A placeholder, so that an outcome during subscribe() is noticed below.
    callsInFlight.put(number, new CallInFlight(job, () -> {}));
    Cancellable forwarding =
        forwarder
            .forward(route.get(), call, Source.SCORING)
            .subscribe()
            .with(
                outcome -> {
                  callsInFlight.remove(number);
                  onOutcome(job, item, route.get(), outcome);
                  sendNext();
                });
    callsInFlight.computeIfPresent(number, (key, sent) -> new CallInFlight(job, forwarding));
  }

  private void onOutcome(String job, String item, Route route, ForwardOutcome outcome) {
    if (outcome instanceof ForwardOutcome.Answered answered && answered.answer().isSuccess()) {
      actionHandler.accept(scheduler.onScored(job, item, answered.answer().signature()));
      return;
    }
    int maxErrors = Math.max(1, route.maxAttempts());
    LOG.atInfo()
        .addKeyValue("job", job)
        .addKeyValue("item", item)
        .addKeyValue("serverErrors", outcome.serverErrors())
        .addKeyValue("outcome", outcome.getClass().getSimpleName())
        .log("job: no score");
    actionHandler.accept(
        scheduler.onScoreFailed(
            job,
            item,
            outcome.serverErrors(),
            maxErrors,
            retryDelayMillis(outcome),
            context.nowMillis()));
  }

  private static long retryDelayMillis(ForwardOutcome outcome) {
    return outcome instanceof ForwardOutcome.NotRun notRun ? notRun.retryAfterMillis() : 0;
  }
}
