package org.passhaven.core.job;

import org.passhaven.core.backend.ServerEntry;
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

  private static final long NOT_WAITING = Long.MAX_VALUE;

  final JobExecution jobExecution;
  final JobItem item;
  Phase phase = Phase.WAITING;

  /** Service whose servers generate the text. */
  String service = "";

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

  /** Time since which the item waits for an event from any server; {@link #NOT_WAITING} if none. */
  private long waitingSinceMillis = NOT_WAITING;

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

  /** Counts the item as waiting from now on, unless it has been waiting since an earlier time. */
  void startWaiting(long nowMillis) {
    waitingSinceMillis = Math.min(waitingSinceMillis, nowMillis);
  }

  /** Handles an event from the server. */
  void onProgress(long nowMillis) {
    lastProgressAtMillis = nowMillis;
    waitingSinceMillis = NOT_WAITING;
  }

  /** Returns the time that the item has waited, over all attempts without an event. */
  long waitingMillis(long nowMillis) {
    return waitingSinceMillis == NOT_WAITING ? 0 : nowMillis - waitingSinceMillis;
  }

  /** Starts an attempt at a server. */
  void startAttempt(long newAttempt, ServerEntry newServer, long nowMillis) {
    phase = Phase.GENERATING;
    service = newServer.service();
    attempt = newAttempt;
    attempts++;
    firstStartedAtMillis = attempts == 1 ? nowMillis : firstStartedAtMillis;
    server = newServer.incarnation();
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
