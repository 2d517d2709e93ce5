package org.passhaven.node.gateway;

import java.util.ArrayDeque;
import java.util.List;
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
 * Requests that score whole texts: some at a time, the others wait in the order of their asking.
 */
final class ScoreCalls {
  private static final Logger LOG = LoggerFactory.getLogger(ScoreCalls.class);
  private static final long SCORE_MILLIS = 2_500;

  /** Bounds the bodies held in memory; the admission bounds the calls at servers. */
  private static final int SCORES_AT_ONCE = 48;

  private static final String POST = "POST";
  private final GatewayContext context;
  private final Directory directory;
  private final RequestForwarder forwarder;
  private final JobScheduler scheduler;
  private final Consumer<List<JobAction>> apply;
  private final Queue<JobAction.Score> waiting = new ArrayDeque<>();
  private int inProgress;

  /**
   * Creates the calls.
   *
   * @param apply takes what the scheduler decides when a score has come, or has not
   */
  ScoreCalls(
      GatewayContext context,
      Directory directory,
      RequestForwarder forwarder,
      JobScheduler scheduler,
      Consumer<List<JobAction>> apply) {
    this.context = Objects.requireNonNull(context, "context");
    this.directory = Objects.requireNonNull(directory, "directory");
    this.forwarder = Objects.requireNonNull(forwarder, "forwarder");
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.apply = Objects.requireNonNull(apply, "apply");
  }

  /** Asks for a score when its turn comes, if its job still runs here then. */
  void ask(JobAction.Score score) {
    waiting.add(score);
    beginNext();
  }

  private void beginNext() {
    while (inProgress < SCORES_AT_ONCE && !waiting.isEmpty()) {
      JobAction.Score next = waiting.poll();
      if (scheduler.isRunning(next.job().id())) {
        begin(next);
      }
    }
  }

  private void begin(JobAction.Score action) {
    ScoreCall score = action.item().score();
    String job = action.job().id();
    String item = action.item().id();
    Optional<Route> route = directory.routes().find(score.host(), score.path());
    if (route.isEmpty()) {
      apply.accept(scheduler.onScoreFailed(job, item, 0, 1, 0, context.now()));
      return;
    }
    inProgress++;
    Call call =
        new Call(
            score.id(),
            "",
            POST,
            score.path(),
            score.host(),
            List.of(),
            score.body(),
            SCORE_MILLIS);
    forwarder
        .forward(route.get(), call, Source.SCORING)
        .subscribe()
        .with(
            outcome -> {
              inProgress--;
              onOutcome(job, item, route.get(), outcome);
              beginNext();
            });
  }

  private void onOutcome(String job, String item, Route route, ForwardOutcome outcome) {
    if (outcome instanceof ForwardOutcome.Answered answered && answered.answer().isSuccess()) {
      apply.accept(scheduler.onScored(job, item, answered.answer().signature()));
      return;
    }
    int mostErrors = Math.max(1, route.mostAttempts());
    LOG.atInfo()
        .addKeyValue("job", job)
        .addKeyValue("item", item)
        .addKeyValue("serverErrors", outcome.serverErrors())
        .addKeyValue("outcome", outcome.getClass().getSimpleName())
        .log("job: no score");
    apply.accept(
        scheduler.onScoreFailed(
            job, item, outcome.serverErrors(), mostErrors, pauseMillis(outcome), context.now()));
  }

  private static long pauseMillis(ForwardOutcome outcome) {
    return outcome instanceof ForwardOutcome.NotRun notRun ? notRun.retryAfterMillis() : 0;
  }
}
