package org.passhaven.core.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerHealth;
import org.passhaven.protocol.job.TextRecord.TextPart;

/**
 * Decisions of the node that runs jobs: which item generates where, when it moves on to another
 * server, when its text is scored, what its result is. Text lives here only until its result is in
 * the log; a successor generates it anew. Times in monotonic milliseconds. Not thread-safe.
 */
public final class JobScheduler {
  /** Why a generation is stopped that moves from a slow server. */
  public static final String SLOW_SERVER = "slow server";

  /** Why a generation is stopped that has stalled. */
  public static final String STALLED = "stalled";

  private static final int MAX_MOVES = 6;
  private static final long MIN_MILLIS_BEFORE_MOVE = 500;
  private static final long FIRST_EVENT_TIMEOUT_MILLIS = 1_200;
  private static final long NEXT_EVENT_TIMEOUT_MILLIS = 700;
  private static final long STALLED_SERVER_AVOIDANCE_MILLIS = 600;
  private static final long MISDIRECTED_SERVER_AVOIDANCE_MILLIS = 1_000;
  private static final long RETRY_DELAY_MILLIS = 40;

  /** What is known of a generation that ended without its whole text. */
  public enum Failure {
    /** The server did not take it. */
    REFUSED,
    /** Not the server or version that was meant. */
    MISDIRECTED,
    /** The server failed on it. */
    SERVER_ERROR,
    /** It can never be done. */
    IMPOSSIBLE,
    /** The server was not reached, or the stream broke off. */
    CUT,
    /** The connection was silent, as others were; the server may be as good as any. */
    SILENT
  }

  private final RunningJobs jobs = new RunningJobs();
  private final ItemFinisher finisher = new ItemFinisher(jobs);
  private final Map<Long, ItemExecution> generating = new HashMap<>();
  private final TextCache textCache = new TextCache();
  private final ServerView view = new ServerView();
  private final ServerHealth health = view.health();
  private final LengthEstimator lengths = new LengthEstimator();
  private final GenerationPicker picker;
  private final ItemGate gate;
  private long nextAttempt = 1;

  /** Creates the scheduler of a node in {@code zone} that holds no item back. */
  public JobScheduler(String zone) {
    this("", zone, (job, item) -> true);
  }

  /** Creates the scheduler of a node in {@code zone}. */
  public JobScheduler(String node, String zone, ItemGate gate) {
    this.gate = Objects.requireNonNull(gate, "gate");
    this.picker = new GenerationPicker(node, zone, view, lengths);
  }

  /** What is known of the servers, from this node and from others. */
  public ServerView serverView() {
    return view;
  }

  /** Whether this node runs a job. */
  public boolean isRunning(String job) {
    return jobs.get(job) != null;
  }

  /** Whether this node runs a job and one of its items has no result yet. */
  public boolean isOpen(String job, String item) {
    return jobs.item(job, item).filter(run -> run.phase != ItemExecution.Phase.DONE).isPresent();
  }

  /** How an item came to where it is; empty if its job does not run here. */
  public Optional<ItemHistory> historyOf(String job, String item) {
    return jobs.item(job, item).map(ItemExecution::history);
  }

  /** Whether this node runs any job. */
  public boolean hasJobs() {
    return !jobs.isEmpty();
  }

  /** Names of the jobs that this node runs. */
  public List<String> running() {
    return jobs.ids();
  }

  /**
   * Begins to run a job, or takes in what the configuration now says of it.
   *
   * @param texts what an earlier runner left in the log
   */
  public void take(Job job, JobPolicy policy, TextTable texts) {
    JobExecution known = jobs.get(job.id());
    if (known != null) {
      known.policy = policy;
      return;
    }
    JobExecution work = new JobExecution(job, policy);
    jobs.put(work);
    for (ItemExecution run : work.items.values()) {
      textCache.restore(run);
      TextCache.restoreFromLog(run, texts);
    }
  }

  /**
   * Takes what the log lacks of a run's texts, for the runner that follows this one. It counts as
   * being there unless {@link #onTextsNotSaved} says otherwise.
   */
  public List<TextPart> takeUnsavedTexts(String run) {
    return jobs.takeUnsavedTexts(run);
  }

  /** The log may not have taken parts that {@link #takeUnsavedTexts} gave. */
  public void onTextsNotSaved(List<TextPart> parts) {
    for (TextPart part : parts) {
      jobs.item(part.job(), part.item()).ifPresent(run -> run.markUnsavedAfter(part.afterEvent()));
    }
  }

  /** Runs a job no longer: it was ended, or another node runs it. Its text so far is kept. */
  public List<JobAction> drop(String job, String why) {
    List<JobAction> actions = new ArrayList<>();
    JobExecution work = jobs.remove(job);
    if (work == null) {
      return actions;
    }
    for (ItemExecution run : work.items.values()) {
      boolean whole = run.hasCompleteText();
      stop(run, why, actions);
      if (!run.text.isEmpty() && run.phase != ItemExecution.Phase.DONE) {
        textCache.put(run, whole);
      }
      run.phase = ItemExecution.Phase.DONE;
    }
    return actions;
  }

  /** An item's result was read from the log, whoever wrote it. */
  public List<JobAction> onListed(String job, String item) {
    List<JobAction> actions = new ArrayList<>();
    JobExecution work = jobs.get(job);
    ItemExecution run = work == null ? null : work.items.get(item);
    if (run != null) {
      stop(run, "listed", actions);
      run.phase = ItemExecution.Phase.DONE;
      if (work.isDone()) {
        jobs.remove(job);
      }
    }
    return actions;
  }

  private void stop(ItemExecution run, String why, List<JobAction> actions) {
    if (run.phase == ItemExecution.Phase.GENERATING) {
      actions.add(new JobAction.Stop(run.attempt, why));
      releaseServer(run);
    }
  }

  private void releaseServer(ItemExecution run) {
    generating.remove(run.attempt);
    health.onEnded(run.server);
    if (!run.accepted) {
      picker.removePending(run);
    }
    run.phase = ItemExecution.Phase.WAITING;
  }

  /**
   * All that is due now: items given up, generations moved, generations and scores begun.
   *
   * @param newest newest weight version by model
   */
  public List<JobAction> decide(
      Collection<ServerEntry> servers, Map<String, NamedVersion> newest, long nowMillis) {
    List<JobAction> actions = new ArrayList<>();
    ReadyServers ready = new ReadyServers(servers, newest);
    picker.beginRound(ready, nowMillis);
    for (JobExecution work : jobs.byUrgency()) {
      failExpiredItems(work, nowMillis, actions);
      finisher.retryScores(work, nowMillis, actions);
      int priority = jobs.priorityOf(work);
      for (ItemExecution run : work.itemsToStart(nowMillis)) {
        picker
            .choose(run, nowMillis)
            .filter(server -> mayBegin(run))
            .ifPresent(server -> startGeneration(run, server, priority, nowMillis, actions));
      }
    }
    for (ItemExecution run : List.copyOf(generating.values())) {
      moveIfStalledOrSlow(run, nowMillis, actions);
    }
    return actions;
  }

  private void failExpiredItems(JobExecution work, long nowMillis, List<JobAction> actions) {
    long limit = work.policy.giveUpMillis();
    if (limit <= 0 || nowMillis - work.job.acceptedAtMillis() < limit) {
      return;
    }
    for (ItemExecution run : work.items.values()) {
      if (run.phase == ItemExecution.Phase.WAITING || run.phase == ItemExecution.Phase.GENERATING) {
        stop(run, "too old", actions);
        finisher.finish(run, false, "", actions);
      }
    }
  }

  private boolean mayBegin(ItemExecution run) {
    return gate.mayBegin(run.jobExecution.job.submission(), run.item);
  }

  private void startGeneration(
      ItemExecution run,
      ServerEntry server,
      int priority,
      long nowMillis,
      List<JobAction> actions) {
    run.startAttempt(nextAttempt++, server.start(), nowMillis);
    generating.put(run.attempt, run);
    health.onSent(server.start());
    picker.onSent(run);
    picker.rememberServerOfGroup(run.item.group(), server.start());
    actions.add(
        new JobAction.Start(
            run.attempt,
            server,
            run.jobExecution.job.submission(),
            run.item,
            run.text.lastEvent(),
            priority));
  }

  /** Moves a generation that has stalled, or whose server is slow or leaves, if there is room. */
  private void moveIfStalledOrSlow(ItemExecution run, long nowMillis, List<JobAction> actions) {
    long patience = run.version == 0 ? FIRST_EVENT_TIMEOUT_MILLIS : NEXT_EVENT_TIMEOUT_MILLIS;
    if (nowMillis - run.lastProgressAtMillis >= patience) {
      health.avoid(run.server, STALLED_SERVER_AVOIDANCE_MILLIS, nowMillis);
      stop(run, STALLED, actions);
      run.moves++;
      return;
    }
    boolean settled = nowMillis - run.startedAtMillis >= MIN_MILLIS_BEFORE_MOVE;
    if (!settled || run.moves >= MAX_MOVES) {
      return;
    }
    Optional<ServerEntry> better = picker.chooseFaster(run, nowMillis);
    if (better.isPresent() && mayBegin(run)) {
      stop(run, SLOW_SERVER, actions);
      run.moves++;
      startGeneration(run, better.get(), jobs.priorityOf(run.jobExecution), nowMillis, actions);
    }
  }

  /** A server began a generation under a weight version; zero if it names none. */
  public List<JobAction> onBegan(long attempt, long version, long nowMillis) {
    List<JobAction> actions = new ArrayList<>();
    ItemExecution run = generating.get(attempt);
    if (run != null && !run.accepted) {
      run.accepted = true;
      picker.onAccepted(run);
    }
    // A continuation behind the last event has nothing to name a version for.
    if (run != null && version != 0) {
      acceptVersion(run, version, nowMillis, actions);
    }
    return actions;
  }

  private boolean acceptVersion(
      ItemExecution run, long version, long nowMillis, List<JobAction> actions) {
    run.version = version;
    boolean tooOld = version < run.jobExecution.job.submission().oldestVersion();
    List<Long> made = run.text.versions();
    boolean mixed =
        run.jobExecution.policy.singleVersion() && !made.isEmpty() && made.get(0) != version;
    if (!tooOld && !mixed) {
      return true;
    }
    stop(run, "version " + version + (tooOld ? " is too old" : " is another one"), actions);
    if (mixed) {
      run.restartText();
    } else {
      health.avoid(run.server, STALLED_SERVER_AVOIDANCE_MILLIS, nowMillis);
    }
    return false;
  }

  /** An event came; {@code version} is zero if it is the same as before. */
  public List<JobAction> onEvent(
      long attempt, long event, long version, String data, long nowMillis) {
    List<JobAction> actions = new ArrayList<>();
    ItemExecution run = generating.get(attempt);
    if (run == null) {
      return actions;
    }
    if (version != 0 && !acceptVersion(run, version, nowMillis, actions)) {
      return actions;
    }
    if (run.version == 0) {
      stop(run, "no version is known", actions);
      health.onFailure(run.server, nowMillis);
      return actions;
    }
    boolean first = run.lastProgressAtMillis == run.startedAtMillis;
    if (!first) {
      view.intervals().onInterval(run.server, nowMillis - run.lastProgressAtMillis, nowMillis);
    }
    run.lastProgressAtMillis = nowMillis;
    if (!run.text.append(event, run.version, data)) {
      stop(run, "event out of order", actions);
      health.onFailure(run.server, nowMillis);
    }
    return actions;
  }

  /** A generation has ended with its whole text. */
  public List<JobAction> onWhole(long attempt, long nowMillis) {
    List<JobAction> actions = new ArrayList<>();
    ItemExecution run = generating.get(attempt);
    if (run == null) {
      return actions;
    }
    health.onSuccess(run.server, nowMillis - run.startedAtMillis, nowMillis);
    run.textCompletedAtMillis = nowMillis;
    lengths.onCompleted(run.item.expectedTokens(), run.text.lastEvent());
    releaseServer(run);
    finisher.scoreOrFinish(run, actions);
    return actions;
  }

  /** A generation has ended without its whole text. */
  public List<JobAction> onFailed(long attempt, Failure failure, long nowMillis) {
    List<JobAction> actions = new ArrayList<>();
    ItemExecution run = generating.get(attempt);
    if (run == null) {
      return actions;
    }
    releaseServer(run);
    run.retryAtMillis = nowMillis + RETRY_DELAY_MILLIS;
    switch (failure) {
      case REFUSED -> picker.onRefused(run, nowMillis);
      case MISDIRECTED -> health.avoid(run.server, MISDIRECTED_SERVER_AVOIDANCE_MILLIS, nowMillis);
      case CUT -> health.onFailure(run.server, nowMillis);
      case SERVER_ERROR -> run.serverErrors++;
      case IMPOSSIBLE -> finisher.finish(run, false, "", actions);
      case SILENT -> run.moves++;
    }
    if (run.serverErrors >= run.jobExecution.policy.maxServerErrors()
        && run.phase == ItemExecution.Phase.WAITING) {
      finisher.finish(run, false, "", actions);
    }
    return actions;
  }

  /** The score of an item's text came. */
  public List<JobAction> onScored(String job, String item, String score) {
    return finisher.onScored(job, item, score);
  }

  /**
   * An item's score did not come.
   *
   * @param serverErrors answers of 500 that the request got this time
   * @param mostServerErrors answers of 500 after which the item is given up
   * @param pauseMillis time for which it makes no sense to ask again
   */
  public List<JobAction> onScoreFailed(
      String job,
      String item,
      int serverErrors,
      int mostServerErrors,
      long pauseMillis,
      long nowMillis) {
    return finisher.onScoreFailed(
        job, item, serverErrors, mostServerErrors, pauseMillis, nowMillis);
  }

  /** Number of items by phase, for logs and metrics. */
  public Map<String, Long> phases() {
    return jobs.items()
        .collect(
            Collectors.groupingBy(run -> run.phase.name(), TreeMap::new, Collectors.counting()));
  }
}
