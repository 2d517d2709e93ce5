package org.passhaven.core.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.passhaven.protocol.job.ItemResult;

/**
 * Requests the scores of items with a complete text and creates the results of items that are
 * scored or abandoned. Times are in monotonic milliseconds. Not thread-safe.
 */
final class ItemFinisher {
  private static final long SCORE_RETRY_DELAY_MILLIS = 100;
  private final RunningJobs jobs;

  ItemFinisher(RunningJobs jobs) {
    this.jobs = Objects.requireNonNull(jobs, "jobs");
  }

  /** Retries the failed score requests of a job that are due. */
  void retryScores(JobExecution jobExecution, long nowMillis, List<JobAction> actions) {
    jobExecution.items.values().stream()
        .filter(execution -> execution.phase == ItemExecution.Phase.WAITING_FOR_SCORE)
        .filter(execution -> execution.retryAtMillis <= nowMillis)
        .forEach(execution -> scoreOrFinish(execution, actions));
  }

  /** Requests the score of an item with a complete text, or finishes it if it has no scorer. */
  void scoreOrFinish(ItemExecution execution, List<JobAction> actions) {
    if (execution.item.score() == null) {
      finish(execution, true, "", actions);
    } else {
      score(execution, actions);
    }
  }

  private void score(ItemExecution execution, List<JobAction> actions) {
    execution.phase = ItemExecution.Phase.SCORING;
    actions.add(new JobAction.Score(execution.jobExecution.job.submission(), execution.item));
  }

  /** Finishes an item with its score. */
  List<JobAction> onScored(String job, String item, String score) {
    List<JobAction> actions = new ArrayList<>();
    ItemExecution execution = findScoring(job, item);
    if (execution != null) {
      finish(execution, true, score, actions);
    }
    return actions;
  }

  /**
   * Schedules a retry of a failed score request, or abandons the item.
   *
   * @param serverErrors number of 500 responses to this request
   * @param maxServerErrors number of 500 responses at which the item is abandoned, unless the job's
   *     policy allows more
   * @param pauseMillis minimum delay before the next request
   */
  List<JobAction> onScoreFailed(
      String job,
      String item,
      int serverErrors,
      int maxServerErrors,
      long pauseMillis,
      long nowMillis) {
    List<JobAction> actions = new ArrayList<>();
    ItemExecution execution = findScoring(job, item);
    if (execution == null) {
      return actions;
    }
    execution.scoreErrors += serverErrors;
    int maxErrors = Math.max(maxServerErrors, execution.jobExecution.policy().maxServerErrors());
    // A call that was not sent has no maximum of its own, so it ends nothing.
    if (serverErrors > 0 && execution.scoreErrors >= maxErrors) {
      finish(execution, false, "", actions);
    } else {
      execution.phase = ItemExecution.Phase.WAITING_FOR_SCORE;
      execution.retryAtMillis = nowMillis + Math.max(SCORE_RETRY_DELAY_MILLIS, pauseMillis);
    }
    return actions;
  }

  private ItemExecution findScoring(String job, String item) {
    return jobs.item(job, item)
        .filter(execution -> execution.phase == ItemExecution.Phase.SCORING)
        .orElse(null);
  }

  /** Finishes an item and adds the action that records its result. */
  void finish(ItemExecution execution, boolean completed, String score, List<JobAction> actions) {
    execution.startFinishing(completed);
    actions.add(
        new JobAction.Finish(
            new ItemResult(
                execution.jobExecution.job.id(),
                execution.item.id(),
                completed,
                completed ? execution.text.data() : "",
                completed ? execution.text.versions() : List.of(),
                score)));
  }
}
