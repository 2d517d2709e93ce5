package org.passhaven.core.job;

import org.passhaven.core.backend.ServerStart;
import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.job.TextRecord.TextPart;

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

  /** Events of the text that the log has, or that are on their way there. */
  private long savedEvents;

  private boolean isSavedWhole;
  long attempt;

  /** Whether the server of the attempt has begun it. */
  boolean answered;

  ServerStart server = ServerStart.of("");
  long version;
  long startedAt;
  long progressAt;
  long notBefore = Long.MIN_VALUE;
  int serverErrors;
  int scoreErrors;
  int moves;
  int attempts;
  long firstBegunAt;
  long wholeAt;

  ItemRun(JobWork job, JobItem item) {
    this.job = job;
    this.item = item;
  }

  ItemHistory history() {
    return new ItemHistory(
        item.group(),
        job.job.submission().step(),
        job.job.acceptedAtMillis(),
        firstBegunAt,
        wholeAt,
        text.lastEvent(),
        attempts,
        moves,
        server);
  }

  /** An attempt begins at a server. */
  void begin(long newAttempt, ServerStart at, long nowMillis) {
    phase = Phase.GENERATING;
    attempt = newAttempt;
    attempts++;
    firstBegunAt = attempts == 1 ? nowMillis : firstBegunAt;
    server = at;
    version = 0;
    startedAt = nowMillis;
    progressAt = nowMillis;
    answered = false;
  }

  /** Whether nothing but the score, or the record of the result, is missing. */
  boolean hasWholeText() {
    return phase == Phase.WAITING_FOR_SCORE || phase == Phase.SCORING || phase == Phase.FINISHING;
  }

  void restartText() {
    setText(new ItemText());
  }

  /** Takes another text, none of which counts as being in the log. */
  void setText(ItemText newText) {
    text = newText;
    savedEvents = 0;
    isSavedWhole = false;
  }

  /** Whether the log lacks something of the text, and may still be asked for it. */
  boolean isUnsaved() {
    boolean isOpen = phase != Phase.DONE && phase != Phase.FINISHING;
    return isOpen
        && !text.isEmpty()
        && (text.lastEvent() > savedEvents || hasWholeText() != isSavedWhole);
  }

  /** What the log lacks of the text; counts as being there from now on. */
  TextPart takeUnsaved() {
    boolean isWhole = hasWholeText();
    TextPart part = text.partBehind(savedEvents, job.job.id(), item.id(), isWhole);
    savedEvents = text.lastEvent();
    isSavedWhole = isWhole;
    return part;
  }

  /** The log may lack what lies behind an event. */
  void onUnsaved(long afterEvent) {
    savedEvents = Math.min(savedEvents, afterEvent);
    isSavedWhole = false;
  }
}
