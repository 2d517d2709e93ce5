package org.passhaven.core.run;

import java.util.ArrayList;
import java.util.List;
import org.passhaven.protocol.Sample;
import org.passhaven.protocol.Segment;
import org.passhaven.protocol.ServerId;

/** In-memory progress of one slot at the shard's owner. Not thread-safe. */
final class SlotProgress {
  /** Phases of a slot, from planning to acknowledgement. */
  enum Phase {
    /** Waits for a free engine. */
    PLANNED,
    /** An engine generates the sample. */
    GENERATING,
    /** A scorer rates the sample. */
    SCORING,
    /** The sample is complete and can be committed. */
    READY,
    /** The commit was sent and not yet read back from the log. */
    COMMITTING,
    /** The commit was read back; the sample can be delivered. */
    COMMITTED,
    /**
     * An earlier owner committed the sample and its content was lost with it. It is regenerated
     * only if the trainer has not acknowledged it.
     */
    CONTENT_LOST,
    /** The trainer has received the sample. */
    ACKNOWLEDGED
  }

  final int index;
  Phase phase = Phase.PLANNED;
  int attempt;
  int position = -1;
  ServerId engine;
  final List<Segment> segments = new ArrayList<>();
  Sample sample;

  SlotProgress(int slot) {
    this.index = slot;
  }

  AttemptId attemptId(long epoch, long step) {
    return new AttemptId(epoch, step, index, attempt);
  }

  void startAttempt(ServerId chosenEngine) {
    attempt++;
    engine = chosenEngine;
    phase = Phase.GENERATING;
  }

  /** Appends tokens, extending the last segment if engine, incarnation and version are equal. */
  void append(Segment added) {
    int last = segments.size() - 1;
    if (last >= 0 && isContinuation(segments.get(last), added)) {
      segments.set(last, join(segments.get(last), added));
    } else {
      segments.add(added);
    }
  }

  /** Discards the content and plans the slot again; it keeps its position, if it has one. */
  void reset() {
    segments.clear();
    sample = null;
    phase = Phase.PLANNED;
  }

  private static boolean isContinuation(Segment earlier, Segment later) {
    return earlier.version() == later.version()
        && earlier.incarnation() == later.incarnation()
        && earlier.engine().equals(later.engine());
  }

  private static Segment join(Segment earlier, Segment later) {
    int[] tokens = new int[earlier.tokens().length + later.tokens().length];
    System.arraycopy(earlier.tokens(), 0, tokens, 0, earlier.tokens().length);
    System.arraycopy(later.tokens(), 0, tokens, earlier.tokens().length, later.tokens().length);
    return new Segment(later.version(), later.engine(), later.incarnation(), tokens);
  }
}
