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

  private static final int MOST_MOVES = 6;
  private static final long MOVE_AFTER_MILLIS = 500;
  private static final long FIRST_EVENT_MILLIS = 1_200;
  private static final long NEXT_EVENT_MILLIS = 700;
  private static final long STALL_AVOIDED_MILLIS = 600;
  private static final long MISDIRECTED_AVOIDED_MILLIS = 1_000;
  private static final long RETRY_MILLIS = 40;

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
  private final ItemOutcomes outcomes = new ItemOutcomes(jobs);
  private final Map<Long, ItemRun> generating = new HashMap<>();
  private final KeptTexts kept = new KeptTexts();
  private final ServerView view = new ServerView();
  private final ServerHealth health = view.health();
  private final LengthEstimate lengths = new LengthEstimate();
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
    return jobs.item(job, item).filter(run -> run.phase != ItemRun.Phase.DONE).isPresent();
  }

  /** How an item came to where it is; empty if its job does not run here. */
  public Optional<ItemHistory> historyOf(String job, String item) {
    return jobs.item(job, item).map(ItemRun::history);
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
    JobWork known = jobs.get(job.id());
    if (known != null) {
      known.policy = policy;
      return;
    }
    JobWork work = new JobWork(job, policy);
    jobs.put(work);
    for (ItemRun run : work.runs.values()) {
      kept.restore(run);
      KeptTexts.adopt(run, texts);
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
      jobs.item(part.job(), part.item()).ifPresent(run -> run.onUnsaved(part.afterEvent()));
    }
  }

  /** Runs a job no longer: it was ended, or another node runs it. Its text so far is kept. */
  public List<JobAction> drop(String job, String why) {
    List<JobAction> actions = new ArrayList<>();
    JobWork work = jobs.remove(job);
    if (work == null) {
      return actions;
    }
    for (ItemRun run : work.runs.values()) {
      boolean whole = run.hasWholeText();
      stop(run, why, actions);
      if (!run.text.isEmpty() && run.phase != ItemRun.Phase.DONE) {
        kept.keep(run, whole);
      }
      run.phase = ItemRun.Phase.DONE;
    }
    return actions;
  }

  /** An item's result was read from the log, whoever wrote it. */
  public List<JobAction> onListed(String job, String item) {
    List<JobAction> actions = new ArrayList<>();
    JobWork work = jobs.get(job);
    ItemRun run = work == null ? null : work.runs.get(item);
    if (run != null) {
      stop(run, "listed", actions);
      run.phase = ItemRun.Phase.DONE;
      if (work.isDone()) {
        jobs.remove(job);
      }
    }
    return actions;
  }

  private void stop(ItemRun run, String why, List<JobAction> actions) {
    if (run.phase == ItemRun.Phase.GENERATING) {
      actions.add(new JobAction.Stop(run.attempt, why));
      leaveServer(run);
    }
  }

  private void leaveServer(ItemRun run) {
    generating.remove(run.attempt);
    health.onEnded(run.server);
    if (!run.answered) {
      picker.onAnswered(run);
    }
    run.phase = ItemRun.Phase.WAITING;
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
    for (JobWork work : jobs.byUrgency()) {
      giveUpOld(work, nowMillis, actions);
      outcomes.scoreAgain(work, nowMillis, actions);
      int priority = jobs.priorityOf(work);
      for (ItemRun run : work.waiting(nowMillis)) {
        picker
            .choose(run, nowMillis)
            .filter(server -> mayBegin(run))
            .ifPresent(server -> begin(run, server, priority, nowMillis, actions));
      }
    }
    for (ItemRun run : List.copyOf(generating.values())) {
      moveIfHeldUp(run, nowMillis, actions);
    }
    return actions;
  }

  private void giveUpOld(JobWork work, long nowMillis, List<JobAction> actions) {
    long limit = work.policy.giveUpMillis();
    if (limit <= 0 || nowMillis - work.job.acceptedAtMillis() < limit) {
      return;
    }
    for (ItemRun run : work.runs.values()) {
      if (run.phase == ItemRun.Phase.WAITING || run.phase == ItemRun.Phase.GENERATING) {
        stop(run, "too old", actions);
        outcomes.finish(run, false, "", actions);
      }
    }
  }

  private boolean mayBegin(ItemRun run) {
    return gate.mayBegin(run.job.job.submission(), run.item);
  }

  private void begin(
      ItemRun run, ServerEntry server, int priority, long nowMillis, List<JobAction> actions) {
    run.begin(nextAttempt++, server.start(), nowMillis);
    generating.put(run.attempt, run);
    health.onSent(server.start());
    picker.onSent(run);
    picker.onBegun(run.item.group(), server.start());
    actions.add(
        new JobAction.Start(
            run.attempt,
            server,
            run.job.job.submission(),
            run.item,
            run.text.lastEvent(),
            priority));
  }

  /** Moves a generation that has stalled, or whose server is slow or leaves, if there is room. */
  private void moveIfHeldUp(ItemRun run, long nowMillis, List<JobAction> actions) {
    long patience = run.version == 0 ? FIRST_EVENT_MILLIS : NEXT_EVENT_MILLIS;
    if (nowMillis - run.progressAt >= patience) {
      health.avoid(run.server, STALL_AVOIDED_MILLIS, nowMillis);
      stop(run, STALLED, actions);
      run.moves++;
      return;
    }
    boolean settled = nowMillis - run.startedAt >= MOVE_AFTER_MILLIS;
    if (!settled || run.moves >= MOST_MOVES) {
      return;
    }
    Optional<ServerEntry> better = picker.chooseFaster(run, nowMillis);
    if (better.isPresent() && mayBegin(run)) {
      stop(run, SLOW_SERVER, actions);
      run.moves++;
      begin(run, better.get(), jobs.priorityOf(run.job), nowMillis, actions);
    }
  }

  /** A server began a generation under a weight version; zero if it names none. */
  public List<JobAction> onBegan(long attempt, long version, long nowMillis) {
    List<JobAction> actions = new ArrayList<>();
    ItemRun run = generating.get(attempt);
    if (run != null && !run.answered) {
      run.answered = true;
      picker.onTaken(run);
    }
    // A continuation behind the last event has nothing to name a version for.
    if (run != null && version != 0) {
      onVersion(run, version, nowMillis, actions);
    }
    return actions;
  }

  private boolean onVersion(ItemRun run, long version, long nowMillis, List<JobAction> actions) {
    run.version = version;
    boolean tooOld = version < run.job.job.submission().oldestVersion();
    List<Long> made = run.text.versions();
    boolean mixed = run.job.policy.singleVersion() && !made.isEmpty() && made.get(0) != version;
    if (!tooOld && !mixed) {
      return true;
    }
    stop(run, "version " + version + (tooOld ? " is too old" : " is another one"), actions);
    if (mixed) {
      run.restartText();
    } else {
      health.avoid(run.server, STALL_AVOIDED_MILLIS, nowMillis);
    }
    return false;
  }

  /** An event came; {@code version} is zero if it is the same as before. */
  public List<JobAction> onEvent(
      long attempt, long event, long version, String data, long nowMillis) {
    List<JobAction> actions = new ArrayList<>();
    ItemRun run = generating.get(attempt);
    if (run == null) {
      return actions;
    }
    if (version != 0 && !onVersion(run, version, nowMillis, actions)) {
      return actions;
    }
    if (run.version == 0) {
      stop(run, "no version is known", actions);
      health.onFailure(run.server, nowMillis);
      return actions;
    }
    boolean first = run.progressAt == run.startedAt;
    if (!first) {
      view.pace().onPause(run.server, nowMillis - run.progressAt, nowMillis);
    }
    run.progressAt = nowMillis;
    if (!run.text.append(event, run.version, data)) {
      stop(run, "event out of order", actions);
      health.onFailure(run.server, nowMillis);
    }
    return actions;
  }

  /** A generation has ended with its whole text. */
  public List<JobAction> onWhole(long attempt, long nowMillis) {
    List<JobAction> actions = new ArrayList<>();
    ItemRun run = generating.get(attempt);
    if (run == null) {
      return actions;
    }
    health.onSuccess(run.server, nowMillis - run.startedAt, nowMillis);
    run.wholeAt = nowMillis;
    lengths.onWhole(run.item.expectedTokens(), run.text.lastEvent());
    leaveServer(run);
    outcomes.scoreOrFinish(run, actions);
    return actions;
  }

  /** A generation has ended without its whole text. */
  public List<JobAction> onFailed(long attempt, Failure failure, long nowMillis) {
    List<JobAction> actions = new ArrayList<>();
    ItemRun run = generating.get(attempt);
    if (run == null) {
      return actions;
    }
    leaveServer(run);
    run.notBefore = nowMillis + RETRY_MILLIS;
    switch (failure) {
      case REFUSED -> picker.onRefused(run, nowMillis);
      case MISDIRECTED -> health.avoid(run.server, MISDIRECTED_AVOIDED_MILLIS, nowMillis);
      case CUT -> health.onFailure(run.server, nowMillis);
      case SERVER_ERROR -> run.serverErrors++;
      case IMPOSSIBLE -> outcomes.finish(run, false, "", actions);
      case SILENT -> run.moves++;
    }
    if (run.serverErrors >= run.job.policy.mostServerErrors()
        && run.phase == ItemRun.Phase.WAITING) {
      outcomes.finish(run, false, "", actions);
    }
    return actions;
  }

  /** The score of an item's text came. */
  public List<JobAction> onScored(String job, String item, String score) {
    return outcomes.onScored(job, item, score);
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
    return outcomes.onScoreFailed(
        job, item, serverErrors, mostServerErrors, pauseMillis, nowMillis);
  }

  /** Number of items by phase, for logs and metrics. */
  public Map<String, Long> phases() {
    return jobs.items()
        .collect(
            Collectors.groupingBy(run -> run.phase.name(), TreeMap::new, Collectors.counting()));
  }
}
