package org.passhaven.core.run;

import java.util.ArrayList;
import java.util.List;
import org.passhaven.protocol.Sample;
import org.passhaven.protocol.Segment;
import org.passhaven.protocol.ServerId;

/** What the owner holds in memory of one slot. */
final class SlotWork {
  /** Where the slot is on its way from plan to acknowledgement. */
  enum Phase {
    /** To be generated when an engine has room. */
    PLANNED,
    /** An engine generates it. */
    GENERATING,
    /** A scorer has it. */
    SCORING,
    /** Whole, to be committed. */
    READY,
    /** Its commit was sent and not yet read back. */
    COMMITTING,
    /** Its commit was read back; it may be handed over. */
    COMMITTED,
    /**
     * Committed by an earlier owner, content not here: generated again only if the trainer lacks
     * it.
     */
    LOST,
    /** The trainer keeps it. */
    ACKNOWLEDGED
  }

  final int slot;
  Phase phase = Phase.PLANNED;
  int attempt;
  int position = -1;
  ServerId engine;
  final List<Segment> segments = new ArrayList<>();
  Sample sample;

  SlotWork(int slot) {
    this.slot = slot;
  }

  AttemptId attemptId(long epoch, long step) {
    return new AttemptId(epoch, step, slot, attempt);
  }

  void begin(ServerId chosen) {
    attempt++;
    engine = chosen;
    phase = Phase.GENERATING;
  }

  /** Adds tokens, joined to the last segment if engine, incarnation and version are the same. */
  void append(Segment added) {
    int last = segments.size() - 1;
    if (last >= 0 && isContinuation(segments.get(last), added)) {
      segments.set(last, join(segments.get(last), added));
    } else {
      segments.add(added);
    }
  }

  /** Throws the content away and plans the slot anew; its position, if any, stays. */
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
