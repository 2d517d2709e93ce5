package org.passhaven.core.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.passhaven.protocol.job.ItemResult;

/**
 * What becomes of items whose text is whole, or that are given up: scores are asked for, and
 * results given. Times in monotonic milliseconds. Not thread-safe.
 */
final class ItemFinisher {
  private static final long SCORE_RETRY_DELAY_MILLIS = 100;
  private final RunningJobs jobs;

  ItemFinisher(RunningJobs jobs) {
    this.jobs = Objects.requireNonNull(jobs, "jobs");
  }

  /** Asks anew for the scores of a job that did not come and are due. */
  void retryScores(JobExecution work, long nowMillis, List<JobAction> actions) {
    work.items.values().stream()
        .filter(run -> run.phase == ItemExecution.Phase.WAITING_FOR_SCORE)
        .filter(run -> run.retryAtMillis <= nowMillis)
        .forEach(run -> scoreOrFinish(run, actions));
  }

  /** An item's text is whole. */
  void scoreOrFinish(ItemExecution run, List<JobAction> actions) {
    if (run.item.score() == null) {
      finish(run, true, "", actions);
    } else {
      score(run, actions);
    }
  }

  private void score(ItemExecution run, List<JobAction> actions) {
    run.phase = ItemExecution.Phase.SCORING;
    actions.add(new JobAction.Score(run.jobExecution.job.submission(), run.item));
  }

  /** The score of an item's text came. */
  List<JobAction> onScored(String job, String item, String score) {
    List<JobAction> actions = new ArrayList<>();
    ItemExecution run = findScoring(job, item);
    if (run != null) {
      finish(run, true, score, actions);
    }
    return actions;
  }

  /**
   * An item's score did not come.
   *
   * @param serverErrors answers of 500 that the request got this time
   * @param mostServerErrors answers of 500 after which the item is given up
   * @param pauseMillis time for which it makes no sense to ask again
   */
  List<JobAction> onScoreFailed(
      String job,
      String item,
      int serverErrors,
      int mostServerErrors,
      long pauseMillis,
      long nowMillis) {
    List<JobAction> actions = new ArrayList<>();
    ItemExecution run = findScoring(job, item);
    if (run == null) {
      return actions;
    }
    run.scoreErrors += serverErrors;
    if (run.scoreErrors >= mostServerErrors) {
      finish(run, false, "", actions);
    } else {
      run.phase = ItemExecution.Phase.WAITING_FOR_SCORE;
      run.retryAtMillis = nowMillis + Math.max(SCORE_RETRY_DELAY_MILLIS, pauseMillis);
    }
    return actions;
  }

  private ItemExecution findScoring(String job, String item) {
    return jobs.item(job, item)
        .filter(run -> run.phase == ItemExecution.Phase.SCORING)
        .orElse(null);
  }

  /** An item gets its result, which is to be written. */
  void finish(ItemExecution run, boolean completed, String score, List<JobAction> actions) {
    run.phase = ItemExecution.Phase.FINISHING;
    actions.add(
        new JobAction.Finish(
            new ItemResult(
                run.jobExecution.job.id(),
                run.item.id(),
                completed,
                completed ? run.text.data() : "",
                completed ? run.text.versions() : List.of(),
                score)));
  }
}
