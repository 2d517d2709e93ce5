package org.passhaven.core.job;

import org.passhaven.protocol.job.JobItem;

/** How far the runner is with one item. Not thread-safe. */
final class ItemRun {
  enum Phase {
    WAITING,
    GENERATING,
    WAITING_FOR_SCORE,
    SCORING,
    FINISHING,
    DONE
  }

  final JobWork job;
  final JobItem item;
  Phase phase = Phase.WAITING;
  ItemText text = new ItemText();
  long attempt;

  /** Whether the server of the attempt has begun it. */
  boolean answered;

  String server = "";
  long version;
  long startedAt;
  long progressAt;
  long notBefore = Long.MIN_VALUE;
  int serverErrors;
  int scoreErrors;
  int moves;

  ItemRun(JobWork job, JobItem item) {
    this.job = job;
    this.item = item;
  }

  /** Whether nothing but the score, or the record of the result, is missing. */
  boolean hasWholeText() {
    return phase == Phase.WAITING_FOR_SCORE || phase == Phase.SCORING || phase == Phase.FINISHING;
  }

  void restartText() {
    text = new ItemText();
  }
}
