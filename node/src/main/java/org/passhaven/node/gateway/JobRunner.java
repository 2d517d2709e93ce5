package org.passhaven.node.gateway;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.Cancellable;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.job.ItemHistory;
import org.passhaven.core.job.Job;
import org.passhaven.core.job.JobAction;
import org.passhaven.core.job.JobPolicy;
import org.passhaven.core.job.JobRoutes;
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
 * Runs the jobs of the runs that this node owns, by carrying out the actions of the {@link
 * JobScheduler}. Not thread-safe.
 */
public final class JobRunner {
  private static final Logger LOG = LoggerFactory.getLogger(JobRunner.class);
  private static final long GENERATION_TIMEOUT_MILLIS = 30_000;
  private static final long FINAL_SAVE_TIMEOUT_MILLIS = 500;
  private static final long SAVE_PERIOD_MILLIS = 250;
  private static final String POST = "POST";
  private final GatewayContext context;
  private final PlatformDirectory directory;
  private final MembershipAgent members;
  private final JobLog log;
  private final ResultWriter results;
  private final JobScheduler scheduler;
  private final PartialTextLog texts;
  private final ScoreCallQueue scoreQueue;
  private final RunClaimer runClaimer;
  private final Map<Long, Cancellable> generations = new HashMap<>();
  private boolean stopped;
  private boolean isDecisionScheduled;
  private boolean isSaving;

  /** Creates the runner; {@link #start} starts it. */
  public JobRunner(
      GatewayContext context,
      PlatformDirectory directory,
      MembershipAgent members,
      JobLog log,
      RequestForwarder forwarder) {
    this.context = Objects.requireNonNull(context, "context");
    this.directory = Objects.requireNonNull(directory, "directory");
    this.members = Objects.requireNonNull(members, "members");
    this.log = Objects.requireNonNull(log, "log");
    this.results = new ResultWriter(context, log);
    this.scheduler =
        new JobScheduler(
            context.settings().node(),
            context.settings().topology(),
            directory::isCandidate,
            directory.coldStarts());
    this.texts = new PartialTextLog(context, log.history(), scheduler, this::scheduleDecision);
    this.scoreQueue = new ScoreCallQueue(context, directory, forwarder, scheduler, this::apply);
    this.runClaimer = new RunClaimer(members, log);
    new ServerUseExchange(context, log, scheduler.serverView(), members);
    log.addListener(this::onRecord);
    log.addOwnerListener(this::scheduleDecision);
  }

  /** Starts to run jobs. */
  void start(DecisionTick tick) {
    tick.add(this::decide);
    log.addOwnerListener(this::saveTextsOfOwnRuns);
    directory.addListener(this::scheduleDecision);
  }

  /** Saves texts periodically from the first run that this node owns until it owns none. */
  private void saveTextsOfOwnRuns() {
    if (!isSaving && log.ownsAnyRun()) {
      isSaving = true;
      saveTextsLater();
    }
  }

  private void saveTextsLater() {
    context.timers().after(SAVE_PERIOD_MILLIS, this::saveTexts);
  }

  private void saveTexts() {
    if (stopped) {
      return;
    }
    List<String> ownRuns = log.owners().ownedRuns();
    isSaving = !ownRuns.isEmpty();
    if (isSaving) {
      saveTextsLater();
    }
    texts.retain(ownRuns);
    ownRuns.forEach(run -> texts.save(run).subscribe().with(ignored -> {}));
  }

  /**
   * Starts a graceful handover: claims no further runs and saves all partial texts, but continues
   * its own runs until other nodes take them over, which may be late or never while the log is in
   * trouble. Completes when the texts are in the log or the time limit is reached.
   */
  public Uni<Void> drain() {
    runClaimer.stop();
    return saveAllTexts();
  }

  /**
   * Stops all jobs and saves the partial texts of the runs that this node still owns. Completes
   * when they are in the log or the time limit is reached.
   */
  public Uni<Void> stop() {
    runClaimer.stop();
    stopped = true;
    Uni<Void> saved = saveAllTexts();
    scheduler.runningJobs().forEach(job -> drop(job, "stopping"));
    return saved;
  }

  private Uni<Void> saveAllTexts() {
    List<Uni<Void>> saves = log.owners().ownedRuns().stream().map(texts::save).toList();
    if (saves.isEmpty()) {
      return Uni.createFrom().voidItem();
    }
    return context
        .timers()
        .withTimeout(Uni.join().all(saves).andCollectFailures(), FINAL_SAVE_TIMEOUT_MILLIS, "texts")
        .replaceWithVoid()
        .onFailure()
        .recoverWithNull();
  }

  /** Returns the number of jobs that this node runs. */
  public int runningJobCount() {
    return scheduler.runningJobs().size();
  }

  private void onRecord(JobRecord.OfJob record, JobTable.Effect effect) {
    Job job = log.table().get(record.job());
    if (effect == JobTable.Effect.RESULT_RECORDED) {
      String item = ((JobRecord.ItemFinished) record).item();
      context.metrics().resultsRecorded.increment();
      results.onResultRecorded(job, item);
      scheduler.historyOf(job.id(), item).ifPresent(history -> logRecordedItem(job, item, history));
      apply(scheduler.onResultRecorded(job.id(), item));
    } else if (effect == JobTable.Effect.ENDED) {
      drop(job.id(), "ended");
      results.drop(job.id());
    } else {
      scheduleDecision();
    }
  }

  private void logRecordedItem(Job job, String item, ItemHistory history) {
    long accepted = history.acceptedAtMillis();
    LOG.atInfo()
        .addKeyValue("job", job.id())
        .addKeyValue("item", item)
        .addKeyValue("group", history.group())
        .addKeyValue("step", history.step())
        .addKeyValue("begunAfterMillis", history.firstStartedAtMillis() - accepted)
        .addKeyValue("wholeAfterMillis", history.textCompletedAtMillis() - accepted)
        .addKeyValue("listedAfterMillis", context.nowMillis() - accepted)
        .addKeyValue("events", history.events())
        .addKeyValue("attempts", history.attempts())
        .addKeyValue("moves", history.moves())
        .addKeyValue("server", history.server())
        .log("job: item listed");
  }

  private void drop(String job, String reason) {
    scoreQueue.drop(job);
    if (scheduler.isRunning(job)) {
      LOG.atInfo()
          .addKeyValue("job", job)
          .addKeyValue("why", reason)
          .log("job: run no longer here");
      apply(scheduler.stopJob(job, reason));
    }
  }

  private void scheduleDecision() {
    if (!isDecisionScheduled) {
      isDecisionScheduled = true;
      context
          .timers()
          .after(
              1,
              () -> {
                isDecisionScheduled = false;
                decide();
              });
    }
  }

  private void decide() {
    if (stopped) {
      return;
    }
    List.copyOf(log.table().openJobs()).stream()
        .filter(job -> log.isCaughtUp(job.submission().run()))
        .forEach(this::startOrDrop);
    runClaimer.claimRunsWithoutOpenJobs();
    // Reads the former owner's texts early, since the run's next job may continue them.
    log.owners().ownedRuns().forEach(run -> texts.inheritedTextsOf(run, log.owners().epochOf(run)));
    if (scheduler.hasJobs()) {
      apply(
          scheduler.decide(
              directory.servers().all(), directory.announcedVersions(), context.nowMillis()));
    }
  }

  private void startOrDrop(Job job) {
    String run = job.submission().run();
    runClaimer.claim(run);
    boolean isOwner = log.owners().isOwnedHere(run);
    boolean isRunning = scheduler.isRunning(job.id());
    if (isRunning && !isOwner) {
      drop(job.id(), "another node runs it");
      return;
    }
    Optional<JobPolicy> policy =
        isOwner ? JobRoutes.policyOf(job.submission(), directory.routes()) : Optional.empty();
    if (policy.isEmpty()) {
      return;
    }
    Optional<TextTable> inheritedTexts = texts.inheritedTextsOf(run, log.owners().epochOf(run));
    if (inheritedTexts.isEmpty()) {
      return;
    }
    scheduler.startOrUpdate(job, policy.get(), inheritedTexts.get());
    if (!isRunning) {
      LOG.atInfo()
          .addKeyValue("job", job.id())
          .addKeyValue("run", job.submission().run())
          .addKeyValue("step", job.submission().step())
          .addKeyValue("services", policy.get().shares())
          .addKeyValue("open", job.openItemCount())
          .addKeyValue("live", members.heartbeats().acceptingNodes().size())
          .log("job: run here");
    }
  }

  private void apply(List<JobAction> actions) {
    for (JobAction action : actions) {
      if (action instanceof JobAction.Start start) {
        startGeneration(start);
      } else if (action instanceof JobAction.Stop stop) {
        stopGeneration(stop);
      } else if (action instanceof JobAction.Score score) {
        scoreQueue.enqueue(score);
      } else if (action instanceof JobAction.Finish finish) {
        writeResult(finish.result());
      }
    }
  }

  private void writeResult(ItemResult result) {
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
    scheduleDecision();
  }

  private void stopGeneration(JobAction.Stop stop) {
    Cancellable generation = generations.remove(stop.attempt());
    if (generation != null) {
      generation.cancel();
      context.metrics().onGenerationStopped(stop.reason());
      LOG.atInfo()
          .addKeyValue("attempt", stop.attempt())
          .addKeyValue("why", stop.reason())
          .log("job: generation stopped");
    }
    scheduleDecision();
  }

  private void startGeneration(JobAction.Start start) {
    JobItem item = start.item();
    Call call = callOf(start.job(), item).withRestriction(start.restriction());
    long attempt = start.attempt();
    ServerIncarnation server = start.server().incarnation();
    LOG.atLevel(start.lastEvent() > 0 ? Level.INFO : Level.DEBUG)
        .addKeyValue("job", start.job().id())
        .addKeyValue("item", item.id())
        .addKeyValue("attempt", attempt)
        .addKeyValue("service", start.server().service())
        .addKeyValue("server", server)
        .addKeyValue("after", start.lastEvent())
        .addKeyValue("estimate", scheduler.serverView().estimate(server, context.nowMillis()))
        .log("job: generation begins");
    // A placeholder, so that an end or a stop during subscribe() is noticed below.
    generations.put(attempt, () -> {});
    Cancellable generation =
        context
            .backEnds()
            .generate(
                ServerTargets.of(start.server()),
                new BackEndService.Generation(call, start.lastEvent(), start.priority()))
            .subscribe()
            .with(
                progress -> onProgress(attempt, progress),
                failure -> onFailed(start, BackEndException.from(failure)),
                () -> onCompleted(start));
    context.metrics().generationsStarted.increment();
    // The generation may have ended or been stopped during subscribe().
    if (generations.replace(attempt, generation) == null) {
      generation.cancel();
    }
  }

  /** Returns the request by which a server generates an item's text. */
  static Call callOf(JobSubmission job, JobItem item) {
    return new Call(
        item.id(),
        job.tenant(),
        POST,
        item.path(),
        job.host(),
        item.headers(),
        item.body(),
        GENERATION_TIMEOUT_MILLIS);
  }

  private void onProgress(long attempt, Progress progress) {
    long now = context.nowMillis();
    if (progress instanceof Progress.Began began) {
      apply(scheduler.onAccepted(attempt, began.version(), now));
    } else if (progress instanceof Progress.Event event) {
      apply(scheduler.onEvent(attempt, event.id(), event.version(), event.data(), now));
    }
  }

  private void onCompleted(JobAction.Start start) {
    generations.remove(start.attempt());
    apply(scheduler.onCompleted(start.attempt(), context.nowMillis()));
    scheduleDecision();
  }

  private void onFailed(JobAction.Start start, BackEndException failure) {
    generations.remove(start.attempt());
    context.metrics().onGenerationFailed(failure.kind());
    // Refusals by full servers are expected and frequent.
    LOG.atLevel(failure.kind() == BackEndException.Kind.REFUSED ? Level.DEBUG : Level.INFO)
        .addKeyValue("job", start.job().id())
        .addKeyValue("item", start.item().id())
        .addKeyValue("server", start.server().incarnation())
        .addKeyValue("kind", failure.kind())
        .addKeyValue("reason", failure.getMessage())
        .log("job: generation failed");
    apply(scheduler.onFailed(start.attempt(), failureOf(failure.kind()), context.nowMillis()));
    scheduleDecision();
  }

  private static JobScheduler.Failure failureOf(BackEndException.Kind kind) {
    return switch (kind) {
      case REFUSED -> JobScheduler.Failure.REFUSED;
      case HELD_BACK -> JobScheduler.Failure.HELD_BACK;
      case MISDIRECTED -> JobScheduler.Failure.MISDIRECTED;
      case SERVER_ERROR -> JobScheduler.Failure.SERVER_ERROR;
      case IMPOSSIBLE -> JobScheduler.Failure.PERMANENT_ERROR;
      case UNREACHABLE, CUT -> JobScheduler.Failure.CONNECTION_LOST;
      case SILENT -> JobScheduler.Failure.CONNECTION_SILENT;
    };
  }
}
