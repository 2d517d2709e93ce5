package org.passhaven.node.gateway;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.Cancellable;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.passhaven.core.backend.ServerStart;
import org.passhaven.core.job.ItemHistory;
import org.passhaven.core.job.Job;
import org.passhaven.core.job.JobAction;
import org.passhaven.core.job.JobPolicy;
import org.passhaven.core.job.JobScheduler;
import org.passhaven.core.job.JobTable;
import org.passhaven.core.job.TextTable;
import org.passhaven.protocol.job.ItemResult;
import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.job.JobRecord;
import org.passhaven.protocol.job.JobSubmission;
import org.passhaven.spi.BackEndException;
import org.passhaven.spi.BackEndService;
import org.passhaven.spi.BackEndService.Call;
import org.passhaven.spi.BackEndService.Progress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Runs the jobs of the runs that belong to this node: carries out the decisions of the {@link
 * JobScheduler}.
 */
public final class JobRunner {
  private static final Logger LOG = LoggerFactory.getLogger(JobRunner.class);
  private static final long GENERATION_MILLIS = 30_000;
  private static final long LEAVE_TEXT_MILLIS = 500;
  private static final long SAVE_TEXTS_MILLIS = 250;
  private static final String POST = "POST";
  private final GatewayContext context;
  private final Directory directory;
  private final MemberAgent members;
  private final JobLog log;
  private final ItemCrashes crashes;
  private final ResultWriter results;
  private final JobScheduler scheduler;
  private final TextLog texts;
  private final ScoreCalls scores;
  private final RunClaims claims;
  private final Map<Long, Cancellable> generations = new HashMap<>();
  private boolean stopped;
  private boolean deciding;

  /** Creates the runner; {@link #start} begins. */
  public JobRunner(
      GatewayContext context,
      Directory directory,
      MemberAgent members,
      JobLog log,
      RequestForwarder forwarder,
      CrashLog crashes) {
    this.crashes = new ItemCrashes(crashes, this::decideSoon);
    this.context = Objects.requireNonNull(context, "context");
    this.directory = Objects.requireNonNull(directory, "directory");
    this.members = Objects.requireNonNull(members, "members");
    this.log = Objects.requireNonNull(log, "log");
    this.results = new ResultWriter(context, log);
    this.scheduler =
        new JobScheduler(context.settings().node(), context.settings().zone(), this.crashes);
    this.texts = new TextLog(context, log.history(), scheduler, this::decideSoon);
    this.scores = new ScoreCalls(context, directory, forwarder, scheduler, this::apply);
    this.claims = new RunClaims(members, log);
    new ServerUseExchange(context, log, scheduler.serverView(), members);
    log.addListener(this::onRecord);
    log.addOwnerListener(this::decideSoon);
  }

  /** Begins to run jobs. */
  public void start() {
    context.timers().every(context.settings().tick().toMillis(), this::decide);
    context.timers().every(SAVE_TEXTS_MILLIS, this::saveTexts);
    directory.addListener(this::decideSoon);
  }

  private void saveTexts() {
    if (!stopped) {
      List<String> own = log.owners().ownRuns();
      texts.retain(own);
      own.forEach(run -> texts.save(run).subscribe().with(ignored -> {}));
    }
  }

  /**
   * Takes no further runs and leaves the texts so far to the next runners, but goes on with its own
   * until those have taken them: with the log in trouble that may be late or never. Gives a result
   * when the texts are in the log, or the log gave no answer in time.
   */
  public Uni<Void> leave() {
    claims.stop();
    return leaveTexts();
  }

  /** Runs nothing more; what nobody has taken by now leaves its texts once more. */
  public Uni<Void> stop() {
    claims.stop();
    stopped = true;
    Uni<Void> left = leaveTexts();
    scheduler.running().forEach(job -> drop(job, "stopping"));
    return left;
  }

  private Uni<Void> leaveTexts() {
    List<Uni<Void>> saves = log.owners().ownRuns().stream().map(texts::save).toList();
    if (saves.isEmpty()) {
      return Uni.createFrom().voidItem();
    }
    return context
        .timers()
        .limit(Uni.join().all(saves).andCollectFailures(), LEAVE_TEXT_MILLIS, "texts")
        .replaceWithVoid()
        .onFailure()
        .recoverWithNull();
  }

  /** Number of jobs that this node runs. */
  public int running() {
    return scheduler.running().size();
  }

  private void onRecord(JobRecord.OfJob record, JobTable.Effect effect) {
    Job job = log.table().get(record.job());
    if (effect == JobTable.Effect.LISTED) {
      String item = ((JobRecord.ItemFinished) record).item();
      context.metrics().resultsListed.increment();
      results.onListed(job, item);
      scheduler.historyOf(job.id(), item).ifPresent(history -> logListed(job, item, history));
      apply(scheduler.onListed(job.id(), item));
    } else if (effect == JobTable.Effect.ENDED) {
      drop(job.id(), "ended");
      results.drop(job.id());
    } else {
      decideSoon();
    }
  }

  private void logListed(Job job, String item, ItemHistory history) {
    long accepted = history.acceptedAtMillis();
    LOG.atInfo()
        .addKeyValue("job", job.id())
        .addKeyValue("item", item)
        .addKeyValue("group", history.group())
        .addKeyValue("step", history.step())
        .addKeyValue("begunAfterMillis", history.firstBegunAtMillis() - accepted)
        .addKeyValue("wholeAfterMillis", history.wholeAtMillis() - accepted)
        .addKeyValue("listedAfterMillis", context.now() - accepted)
        .addKeyValue("events", history.events())
        .addKeyValue("attempts", history.attempts())
        .addKeyValue("moves", history.moves())
        .addKeyValue("server", history.server())
        .log("job: item listed");
  }

  private void drop(String job, String why) {
    if (scheduler.isRunning(job)) {
      LOG.atInfo().addKeyValue("job", job).addKeyValue("why", why).log("job: run no longer here");
      apply(scheduler.drop(job, why));
    }
  }

  private void decideSoon() {
    if (!deciding) {
      deciding = true;
      context
          .timers()
          .after(
              1,
              () -> {
                deciding = false;
                decide();
              });
    }
  }

  private void decide() {
    if (stopped) {
      return;
    }
    List.copyOf(log.table().open()).stream()
        .filter(job -> log.isCaughtUp(job.submission().run()))
        .forEach(this::takeOrDrop);
    claims.claimIdle();
    // Texts of a former runner are read before the run's next job arrives, which may continue them.
    log.owners().ownRuns().forEach(run -> texts.leftOf(run, log.owners().epochOf(run)));
    if (scheduler.hasJobs()) {
      apply(scheduler.decide(directory.servers().all(), directory.named(), context.now()));
    }
  }

  private void takeOrDrop(Job job) {
    String run = job.submission().run();
    claims.claim(run);
    boolean mine = log.owners().isOwn(run);
    boolean running = scheduler.isRunning(job.id());
    if (running && !mine) {
      drop(job.id(), "another node runs it");
      return;
    }
    Optional<JobPolicy> policy = mine ? policyOf(job.submission()) : Optional.empty();
    if (policy.isEmpty()) {
      return;
    }
    Optional<TextTable> left = texts.leftOf(run, log.owners().epochOf(run));
    if (left.isEmpty()) {
      return;
    }
    scheduler.take(job, policy.get(), left.get());
    if (!running) {
      LOG.atInfo()
          .addKeyValue("job", job.id())
          .addKeyValue("run", job.submission().run())
          .addKeyValue("step", job.submission().step())
          .addKeyValue("open", job.submission().items().size() - job.results().size())
          .addKeyValue("live", members.beats().taking().size())
          .log("job: run here");
    }
  }

  private Optional<JobPolicy> policyOf(JobSubmission submission) {
    return directory
        .routes()
        .find(submission.host(), submission.path())
        .map(
            route ->
                new JobPolicy(
                    route.shares().get(0).service(),
                    Math.max(1, route.mostAttempts()),
                    route.singleVersion(),
                    directory
                        .routes()
                        .tenants()
                        .priorityOf(submission.tenant())
                        .orElse(route.priority()),
                    route.giveUpMillis()));
  }

  private void apply(List<JobAction> actions) {
    for (JobAction action : actions) {
      if (action instanceof JobAction.Start start) {
        begin(start);
      } else if (action instanceof JobAction.Stop stop) {
        stopGeneration(stop);
      } else if (action instanceof JobAction.Score score) {
        scores.ask(score);
      } else if (action instanceof JobAction.Finish finish) {
        finish(finish.result());
      }
    }
  }

  private void finish(ItemResult result) {
    Job job = log.table().get(result.job());
    if (job == null) {
      return;
    }
    if (!result.completed()) {
      LOG.atInfo()
          .addKeyValue("job", result.job())
          .addKeyValue("item", result.item())
          .log("job: item given up");
    }
    results.write(job, result);
    decideSoon();
  }

  private void stopGeneration(JobAction.Stop stop) {
    Cancellable running = generations.remove(stop.attempt());
    if (running != null) {
      running.cancel();
      context.metrics().onGenerationStopped(stop.why());
      LOG.atInfo()
          .addKeyValue("attempt", stop.attempt())
          .addKeyValue("why", stop.why())
          .log("job: generation stopped");
    }
    decideSoon();
  }

  private void begin(JobAction.Start start) {
    JobItem item = start.item();
    Call call = callOf(start.job(), item);
    long attempt = start.attempt();
    ServerStart server = start.server().start();
    LOG.atLevel(start.lastEvent() > 0 ? Level.INFO : Level.DEBUG)
        .addKeyValue("job", start.job().id())
        .addKeyValue("item", item.id())
        .addKeyValue("attempt", attempt)
        .addKeyValue("server", server)
        .addKeyValue("after", start.lastEvent())
        .addKeyValue("estimate", scheduler.serverView().estimate(server, context.now()))
        .log("job: generation begins");
    Cancellable running =
        context
            .backEnds()
            .generate(
                ServerTargets.of(start.server()),
                new BackEndService.Generation(call, start.lastEvent(), start.priority()))
            .subscribe()
            .with(
                progress -> onProgress(attempt, progress),
                failure -> onFailed(start, BackEndException.from(failure)),
                () -> onWhole(start));
    context.metrics().generationsBegun.increment();
    generations.put(attempt, running);
  }

  /** The request by which a server makes an item's text. */
  static Call callOf(JobSubmission job, JobItem item) {
    return new Call(
        item.id(),
        job.tenant(),
        POST,
        item.path(),
        job.host(),
        item.headers(),
        item.body(),
        GENERATION_MILLIS);
  }

  private void onProgress(long attempt, Progress progress) {
    long now = context.now();
    if (progress instanceof Progress.Began began) {
      apply(scheduler.onBegan(attempt, began.version(), now));
    } else if (progress instanceof Progress.Event event) {
      apply(scheduler.onEvent(attempt, event.id(), event.version(), event.data(), now));
    }
  }

  private void onWhole(JobAction.Start start) {
    generations.remove(start.attempt());
    crashes.onWhole(start);
    apply(scheduler.onWhole(start.attempt(), context.now()));
    decideSoon();
  }

  private void onFailed(JobAction.Start start, BackEndException failure) {
    generations.remove(start.attempt());
    context.metrics().onGenerationFailed(failure.kind());
    // A full server is no failure, and there may be many such answers.
    LOG.atLevel(failure.kind() == BackEndException.Kind.REFUSED ? Level.DEBUG : Level.INFO)
        .addKeyValue("job", start.job().id())
        .addKeyValue("item", start.item().id())
        .addKeyValue("server", start.server().start())
        .addKeyValue("kind", failure.kind())
        .addKeyValue("reason", failure.getMessage())
        .log("job: generation failed");
    crashes.onFailed(start, failure.kind());
    apply(scheduler.onFailed(start.attempt(), failureOf(failure.kind()), context.now()));
    decideSoon();
  }

  private static JobScheduler.Failure failureOf(BackEndException.Kind kind) {
    return switch (kind) {
      case REFUSED -> JobScheduler.Failure.REFUSED;
      case MISDIRECTED -> JobScheduler.Failure.MISDIRECTED;
      case SERVER_ERROR -> JobScheduler.Failure.SERVER_ERROR;
      case IMPOSSIBLE -> JobScheduler.Failure.IMPOSSIBLE;
      case UNREACHABLE, CUT -> JobScheduler.Failure.CUT;
      case SILENT -> JobScheduler.Failure.SILENT;
    };
  }
}
