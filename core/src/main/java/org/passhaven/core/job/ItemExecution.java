package org.passhaven.core.job;

import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.job.TextRecord.TextPart;

/** Progress of one item of a job that this node runs. Not thread-safe. */
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

  /** Number of events of the text that are in the log or being appended to it. */
  private long savedEvents;

  private boolean isSavedAsComplete;
  private boolean isFinishedWithCompleteText;
  long attempt;

  /** Whether the server has accepted the current attempt. */
  boolean accepted;

  ServerIncarnation server = ServerIncarnation.of("");
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

  /** Starts an attempt at a server. */
  void startAttempt(long newAttempt, ServerIncarnation newServer, long nowMillis) {
    phase = Phase.GENERATING;
    attempt = newAttempt;
    attempts++;
    firstStartedAtMillis = attempts == 1 ? nowMillis : firstStartedAtMillis;
    server = newServer;
    version = 0;
    startedAtMillis = nowMillis;
    lastProgressAtMillis = nowMillis;
    accepted = false;
  }

  /** Starts to record the result of a completed or abandoned item. */
  void startFinishing(boolean completed) {
    isFinishedWithCompleteText = completed || hasCompleteText();
    phase = Phase.FINISHING;
  }

  /** Returns whether the text is complete; that of an abandoned item may be a part. */
  boolean hasCompleteText() {
    return phase == Phase.WAITING_FOR_SCORE
        || phase == Phase.SCORING
        || (phase == Phase.FINISHING && isFinishedWithCompleteText);
  }

  void restartText() {
    setText(new ItemText());
  }

  /** Replaces the text and marks all of it as unsaved. */
  void setText(ItemText newText) {
    text = newText;
    savedEvents = 0;
    isSavedAsComplete = false;
  }

  /** Returns whether the item is open and a part of its text is not in the log. */
  boolean isUnsaved() {
    boolean isOpen = phase != Phase.DONE && phase != Phase.FINISHING;
    return isOpen
        && !text.isEmpty()
        && (text.lastEvent() > savedEvents || hasCompleteText() != isSavedAsComplete);
  }

  /** Returns the part of the text that is not in the log and marks it as saved. */
  TextPart takeUnsaved() {
    boolean isComplete = hasCompleteText();
    TextPart part = text.partAfter(savedEvents, jobExecution.job.id(), item.id(), isComplete);
    savedEvents = text.lastEvent();
    isSavedAsComplete = isComplete;
    return part;
  }

  /** Marks the events after {@code afterEvent} as not saved in the log. */
  void markUnsavedAfter(long afterEvent) {
    savedEvents = Math.min(savedEvents, afterEvent);
    isSavedAsComplete = false;
  }
}
