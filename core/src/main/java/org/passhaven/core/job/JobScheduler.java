package org.passhaven.core.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerHealth;
import org.passhaven.core.coldstart.ColdStartLimiter;
import org.passhaven.core.topology.Topology;
import org.passhaven.protocol.job.TextRecord.TextPart;

/**
 * Schedules the items of the jobs that this node owns: chooses the server of each generation, moves
 * generations from stalled or slow servers, requests scores and creates results. Texts are held in
 * memory until the log has the item's result; unfinished texts are saved for a new owner through
 * {@link #takeUnsavedTexts}. Performs no I/O. Times are in monotonic milliseconds. Not thread-safe.
 */
public final class JobScheduler {
  /** Reason of {@link JobAction.Stop} for a generation that moves from a slow server. */
  public static final String SLOW_SERVER = "slow server";

  /** Reason of {@link JobAction.Stop} for a stalled generation. */
  public static final String STALLED = "stalled";

  private static final int MAX_MOVES = 6;
  private static final long MIN_MILLIS_BEFORE_MOVE = 500;
  private static final long FIRST_EVENT_TIMEOUT_MILLIS = 1_200;
  private static final long NEXT_EVENT_TIMEOUT_MILLIS = 700;
  private static final long STALLED_SERVER_AVOIDANCE_MILLIS = 600;
  private static final long MISDIRECTED_SERVER_AVOIDANCE_MILLIS = 1_000;

  /** Lets the items of the next rounds go to other servers. */
  private static final long HELD_BACK_SERVER_AVOIDANCE_MILLIS = 50;

  private static final long RETRY_DELAY_MILLIS = 40;

  /** Reason why a generation ended without its complete text. */
  public enum Failure {
    /** The server refused the request. */
    REFUSED,
    /** The request was not sent, since the server must not receive it now. */
    HELD_BACK,
    /** The response came from another server or weight version than requested. */
    MISDIRECTED,
    /** The server answered with an error. */
    SERVER_ERROR,
    /** The request can never succeed. */
    PERMANENT_ERROR,
    /** The server was unreachable, or the connection was lost. */
    CONNECTION_LOST,
    /** Several connections were silent at once, so the server is not the likely cause. */
    CONNECTION_SILENT
  }

  private final RunningJobs jobs = new RunningJobs();
  private final ItemFinisher finisher = new ItemFinisher(jobs);
  private final Map<Long, ItemExecution> generating = new HashMap<>();
  private final TextCache textCache = new TextCache();
  private final ServerView view = new ServerView();
  private final ServerHealth health = view.health();
  private final LengthEstimator lengths = new LengthEstimator();
  private final GenerationPicker picker;
  private long nextAttempt = 1;

  /** Creates a scheduler in {@code zone}. */
  public JobScheduler(String zone) {
    this("", zone);
  }

  /**
   * Creates the scheduler of {@code node} in {@code zone}, in a single region, which may choose all
   * ready servers without limits for cold ones.
   */
  public JobScheduler(String node, String zone) {
    this(node, Topology.ofZone(zone), (server, restriction) -> true, ColdStartLimiter.none());
  }

  /** Creates the scheduler of {@code node}. */
  public JobScheduler(
      String node, Topology topology, CandidateFilter candidates, ColdStartLimiter coldStarts) {
    this.picker = new GenerationPicker(node, topology, view, lengths, candidates, coldStarts);
  }

  /** Returns the load and speed of the servers, as this node and its peers observe them. */
  public ServerView serverView() {
    return view;
  }

  /** Returns whether this node runs a job. */
  public boolean isRunning(String job) {
    return jobs.get(job) != null;
  }

  /** Returns whether this node runs a job and the item has no result yet. */
  public boolean isOpen(String job, String item) {
    return jobs.item(job, item)
        .filter(execution -> execution.phase != ItemExecution.Phase.DONE)
        .isPresent();
  }

  /** Returns the processing history of an item; empty if this node does not run its job. */
  public Optional<ItemHistory> historyOf(String job, String item) {
    return jobs.item(job, item).map(ItemExecution::history);
  }

  /** Returns whether this node runs any job. */
  public boolean hasJobs() {
    return !jobs.isEmpty();
  }

  /** Returns the ids of the jobs that this node runs. */
  public List<String> runningJobs() {
    return jobs.ids();
  }

  /**
   * Starts a job, or updates the policy of a job that is already running.
   *
   * @param texts texts that an earlier owner saved in the log
   */
  public void startOrUpdate(Job job, JobPolicy policy, TextTable texts) {
    JobExecution running = jobs.get(job.id());
    if (running != null) {
      running.updatePolicy(policy);
      return;
    }
    JobExecution jobExecution = new JobExecution(job, policy);
    jobs.put(jobExecution);
    for (ItemExecution execution : jobExecution.items.values()) {
      textCache.restore(execution);
      TextCache.restoreFromLog(execution, texts);
    }
  }

  /**
   * Returns the parts of a run's texts that are not in the log, to be saved for a new owner. They
   * are considered saved unless they are passed to {@link #onTextsNotSaved}.
   */
  public List<TextPart> takeUnsavedTexts(String run) {
    return jobs.takeUnsavedTexts(run);
  }

  /** Marks parts returned by {@link #takeUnsavedTexts} as unsaved, since their append failed. */
  public void onTextsNotSaved(List<TextPart> parts) {
    for (TextPart part : parts) {
      jobs.item(part.job(), part.item())
          .ifPresent(execution -> execution.markUnsavedAfter(part.afterEvent()));
    }
  }

  /** Stops a job that has ended or has another owner, and caches its unfinished texts. */
  public List<JobAction> stopJob(String job, String why) {
    List<JobAction> actions = new ArrayList<>();
    JobExecution jobExecution = jobs.remove(job);
    if (jobExecution == null) {
      return actions;
    }
    for (ItemExecution execution : jobExecution.items.values()) {
      boolean isComplete = execution.hasCompleteText();
      stop(execution, why, actions);
      if (!execution.text.isEmpty() && execution.phase != ItemExecution.Phase.DONE) {
        textCache.put(execution, isComplete);
      }
      execution.phase = ItemExecution.Phase.DONE;
    }
    return actions;
  }

  /** Handles an item's result that was read from the log, written by any node. */
  public List<JobAction> onResultRecorded(String job, String item) {
    List<JobAction> actions = new ArrayList<>();
    JobExecution jobExecution = jobs.get(job);
    ItemExecution execution = jobExecution == null ? null : jobExecution.items.get(item);
    if (execution != null) {
      stop(execution, "listed", actions);
      execution.phase = ItemExecution.Phase.DONE;
      if (jobExecution.isDone()) {
        jobs.remove(job);
      }
    }
    return actions;
  }

  private void stop(ItemExecution execution, String why, List<JobAction> actions) {
    if (execution.phase == ItemExecution.Phase.GENERATING) {
      actions.add(new JobAction.Stop(execution.attempt, why));
      releaseServer(execution);
    }
  }

  private void releaseServer(ItemExecution execution) {
    generating.remove(execution.attempt);
    health.onEnded(execution.server);
    if (!execution.accepted) {
      picker.removePending(execution);
    }
    execution.phase = ItemExecution.Phase.WAITING;
  }

  /**
   * Returns the actions that are due now: abandoning expired items, moving generations, and
   * starting generations and score requests.
   *
   * @param newest newest weight version by model
   */
  public List<JobAction> decide(
      Collection<ServerEntry> servers, Map<String, AnnouncedVersion> newest, long nowMillis) {
    List<JobAction> actions = new ArrayList<>();
    ReadyServers ready = new ReadyServers(servers, newest);
    picker.beginRound(ready, nowMillis);
    for (JobExecution jobExecution : jobs.byUrgency()) {
      abandonExpiredItems(jobExecution, nowMillis, actions);
      finisher.retryScores(jobExecution, nowMillis, actions);
      int priority = jobs.priorityOf(jobExecution);
      for (ItemExecution execution : jobExecution.itemsToStart(nowMillis)) {
        execution.startWaiting(nowMillis);
        picker
            .choose(execution, nowMillis)
            .ifPresent(server -> startGeneration(execution, server, priority, nowMillis, actions));
      }
    }
    for (ItemExecution execution : List.copyOf(generating.values())) {
      moveIfStalledOrSlow(execution, nowMillis, actions);
    }
    return actions;
  }

  private void abandonExpiredItems(
      JobExecution jobExecution, long nowMillis, List<JobAction> actions) {
    long limitMillis = jobExecution.policy().giveUpMillis();
    if (limitMillis <= 0 || nowMillis - jobExecution.job.acceptedAtMillis() < limitMillis) {
      return;
    }
    for (ItemExecution execution : jobExecution.items.values()) {
      if (execution.phase == ItemExecution.Phase.WAITING
          || execution.phase == ItemExecution.Phase.GENERATING
          || execution.phase == ItemExecution.Phase.WAITING_FOR_SCORE) {
        stop(execution, "too old", actions);
        finisher.finish(execution, false, "", actions);
      }
    }
  }

  private void startGeneration(
      ItemExecution execution,
      ServerEntry server,
      int priority,
      long nowMillis,
      List<JobAction> actions) {
    execution.startAttempt(nextAttempt++, server, nowMillis);
    generating.put(execution.attempt, execution);
    health.onSent(server.incarnation());
    picker.onSent(execution);
    picker.rememberServerOfGroup(execution.item.group(), server.incarnation());
    actions.add(
        new JobAction.Start(
            execution.attempt,
            server,
            execution.jobExecution.job.submission(),
            execution.item,
            execution.text.lastEvent(),
            priority,
            execution.jobExecution.policy().restriction()));
  }

  /** Stops a stalled generation, and moves one from a slow server if a faster one has a slot. */
  private void moveIfStalledOrSlow(
      ItemExecution execution, long nowMillis, List<JobAction> actions) {
    long timeoutMillis =
        execution.version == 0 ? FIRST_EVENT_TIMEOUT_MILLIS : NEXT_EVENT_TIMEOUT_MILLIS;
    if (nowMillis - execution.lastProgressAtMillis >= timeoutMillis) {
      health.avoid(execution.server, STALLED_SERVER_AVOIDANCE_MILLIS, nowMillis);
      stop(execution, STALLED, actions);
      execution.moves++;
      return;
    }
    boolean isMovable = nowMillis - execution.startedAtMillis >= MIN_MILLIS_BEFORE_MOVE;
    if (!isMovable || execution.moves >= MAX_MOVES) {
      return;
    }
    Optional<ServerEntry> fasterServer = picker.chooseFaster(execution, nowMillis);
    if (fasterServer.isPresent()) {
      stop(execution, SLOW_SERVER, actions);
      execution.moves++;
      startGeneration(
          execution,
          fasterServer.get(),
          jobs.priorityOf(execution.jobExecution),
          nowMillis,
          actions);
    }
  }

  /** Handles the acceptance of a generation; {@code version} is zero if the server sent none. */
  public List<JobAction> onAccepted(long attempt, long version, long nowMillis) {
    List<JobAction> actions = new ArrayList<>();
    ItemExecution execution = generating.get(attempt);
    if (execution != null && !execution.accepted) {
      execution.accepted = true;
      picker.onAccepted(execution);
    }
    // A continuation after the last event generates nothing and has no version.
    if (execution != null && version != 0) {
      acceptVersion(execution, version, nowMillis, actions);
    }
    return actions;
  }

  private boolean acceptVersion(
      ItemExecution execution, long version, long nowMillis, List<JobAction> actions) {
    execution.version = version;
    boolean isTooOld = version < execution.jobExecution.job.submission().oldestVersion();
    List<Long> textVersions = execution.text.versions();
    boolean isMixed =
        execution.jobExecution.policy().singleVersion()
            && !textVersions.isEmpty()
            && textVersions.get(0) != version;
    if (!isTooOld && !isMixed) {
      return true;
    }
    stop(execution, "version " + version + (isTooOld ? " is too old" : " is another one"), actions);
    if (isMixed) {
      execution.restartText();
    } else {
      health.avoid(execution.server, STALLED_SERVER_AVOIDANCE_MILLIS, nowMillis);
    }
    return false;
  }

  /** Appends an event to its text; {@code version} is zero if it has not changed. */
  public List<JobAction> onEvent(
      long attempt, long event, long version, String data, long nowMillis) {
    List<JobAction> actions = new ArrayList<>();
    ItemExecution execution = generating.get(attempt);
    if (execution == null) {
      return actions;
    }
    if (version != 0 && !acceptVersion(execution, version, nowMillis, actions)) {
      return actions;
    }
    if (execution.version == 0) {
      stop(execution, "no version is known", actions);
      health.onFailure(execution.server, nowMillis);
      return actions;
    }
    boolean isFirstEvent = execution.lastProgressAtMillis == execution.startedAtMillis;
    if (!isFirstEvent) {
      view.intervalTracker()
          .onInterval(execution.server, nowMillis - execution.lastProgressAtMillis, nowMillis);
    }
    execution.onProgress(nowMillis);
    if (!execution.text.append(event, execution.version, data)) {
      stop(execution, "event out of order", actions);
      health.onFailure(execution.server, nowMillis);
    }
    return actions;
  }

  /** Handles a generation that completed its text. */
  public List<JobAction> onCompleted(long attempt, long nowMillis) {
    List<JobAction> actions = new ArrayList<>();
    ItemExecution execution = generating.get(attempt);
    if (execution == null) {
      return actions;
    }
    health.onSuccess(execution.server, nowMillis - execution.startedAtMillis, nowMillis);
    execution.textCompletedAtMillis = nowMillis;
    lengths.onCompleted(execution.item.expectedTokens(), execution.text.lastEvent());
    releaseServer(execution);
    finisher.scoreOrFinish(execution, actions);
    return actions;
  }

  /** Handles a generation that ended without its complete text. */
  public List<JobAction> onFailed(long attempt, Failure failure, long nowMillis) {
    List<JobAction> actions = new ArrayList<>();
    ItemExecution execution = generating.get(attempt);
    if (execution == null) {
      return actions;
    }
    releaseServer(execution);
    execution.retryAtMillis = nowMillis + RETRY_DELAY_MILLIS;
    switch (failure) {
      case REFUSED -> picker.onRefused(execution, nowMillis);
      case HELD_BACK ->
          health.avoid(execution.server, HELD_BACK_SERVER_AVOIDANCE_MILLIS, nowMillis);
      case MISDIRECTED ->
          health.avoid(execution.server, MISDIRECTED_SERVER_AVOIDANCE_MILLIS, nowMillis);
      case CONNECTION_LOST -> health.onFailure(execution.server, nowMillis);
      case SERVER_ERROR -> execution.serverErrors++;
      case PERMANENT_ERROR -> finisher.finish(execution, false, "", actions);
      case CONNECTION_SILENT -> execution.moves++;
    }
    if (execution.serverErrors >= execution.jobExecution.policy().maxServerErrors()
        && execution.phase == ItemExecution.Phase.WAITING) {
      finisher.finish(execution, false, "", actions);
    }
    return actions;
  }

  /** Finishes an item with its score. */
  public List<JobAction> onScored(String job, String item, String score) {
    return finisher.onScored(job, item, score);
  }

  /**
   * Schedules a retry of a failed score request, or abandons the item.
   *
   * @param serverErrors number of 500 responses to this request
   * @param maxServerErrors number of 500 responses at which the item is abandoned, unless the job's
   *     policy allows more
   * @param pauseMillis minimum delay before the next request
   */
  public List<JobAction> onScoreFailed(
      String job,
      String item,
      int serverErrors,
      int maxServerErrors,
      long pauseMillis,
      long nowMillis) {
    return finisher.onScoreFailed(job, item, serverErrors, maxServerErrors, pauseMillis, nowMillis);
  }

  /** Returns the number of items by phase, for logs and metrics. */
  public Map<String, Long> phases() {
    return jobs.items()
        .collect(
            Collectors.groupingBy(
                execution -> execution.phase.name(), TreeMap::new, Collectors.counting()));
  }
}
