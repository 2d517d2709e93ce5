package org.passhaven.core.job;

import org.passhaven.core.backend.ServerStart;
import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.job.TextRecord.TextPart;

/** How far the runner is with one item. Not thread-safe. */
final class ItemExecution {
  enum Phase {
    WAITING,
    GENERATING,
    WAITING_FOR_SCORE,
    SCORING,
    FINISHING,
    DONE
  }

  final JobExecution jobExecution;
  final JobItem item;
  Phase phase = Phase.WAITING;
  ItemText text = new ItemText();

  /** Events of the text that the log has, or that are on their way there. */
  private long savedEvents;

  private boolean isSavedAsComplete;
  long attempt;

  /** Whether the server of the attempt has begun it. */
  boolean accepted;

  ServerStart server = ServerStart.of("");
  long version;
  long startedAtMillis;
  long lastProgressAtMillis;
  long retryAtMillis = Long.MIN_VALUE;
  int serverErrors;
  int scoreErrors;
  int moves;
  int attempts;
  long firstStartedAtMillis;
  long textCompletedAtMillis;

  ItemExecution(JobExecution job, JobItem item) {
    this.jobExecution = job;
    this.item = item;
  }

  ItemHistory history() {
    return new ItemHistory(
        item.group(),
        jobExecution.job.submission().step(),
        jobExecution.job.acceptedAtMillis(),
        firstStartedAtMillis,
        textCompletedAtMillis,
        text.lastEvent(),
        attempts,
        moves,
        server);
  }

  /** An attempt begins at a server. */
  void startAttempt(long newAttempt, ServerStart at, long nowMillis) {
    phase = Phase.GENERATING;
    attempt = newAttempt;
    attempts++;
    firstStartedAtMillis = attempts == 1 ? nowMillis : firstStartedAtMillis;
    server = at;
    version = 0;
    startedAtMillis = nowMillis;
    lastProgressAtMillis = nowMillis;
    accepted = false;
  }

  /** Whether nothing but the score, or the record of the result, is missing. */
  boolean hasCompleteText() {
    return phase == Phase.WAITING_FOR_SCORE || phase == Phase.SCORING || phase == Phase.FINISHING;
  }

  void restartText() {
    setText(new ItemText());
  }

  /** Takes another text, none of which counts as being in the log. */
  void setText(ItemText newText) {
    text = newText;
    savedEvents = 0;
    isSavedAsComplete = false;
  }

  /** Whether the log lacks something of the text, and may still be asked for it. */
  boolean isUnsaved() {
    boolean isOpen = phase != Phase.DONE && phase != Phase.FINISHING;
    return isOpen
        && !text.isEmpty()
        && (text.lastEvent() > savedEvents || hasCompleteText() != isSavedAsComplete);
  }

  /** What the log lacks of the text; counts as being there from now on. */
  TextPart takeUnsaved() {
    boolean isWhole = hasCompleteText();
    TextPart part = text.partAfter(savedEvents, jobExecution.job.id(), item.id(), isWhole);
    savedEvents = text.lastEvent();
    isSavedAsComplete = isWhole;
    return part;
  }

  /** The log may lack what lies behind an event. */
  void markUnsavedAfter(long afterEvent) {
    savedEvents = Math.min(savedEvents, afterEvent);
    isSavedAsComplete = false;
  }
}
