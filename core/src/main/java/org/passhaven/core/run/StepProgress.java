package org.passhaven.core.run;

import java.util.ArrayList;
import java.util.List;
import org.passhaven.protocol.LogRecord.Commit;

/** In-memory progress of one step at the shard's owner. Not thread-safe. */
final class StepProgress {
  final StepState state;
  final List<SlotProgress> slots = new ArrayList<>();
  int nextPosition;

  StepProgress(StepState state) {
    this.state = state;
    for (int slot = 0; slot < state.slotCount(); slot++) {
      slots.add(new SlotProgress(slot));
    }
    for (Commit commit : state.commits()) {
      SlotProgress slot = slots.get(commit.slot());
      slot.position = (int) commit.position();
      slot.phase = SlotProgress.Phase.CONTENT_LOST;
      // Attempts are numbered on from here, so that new commits replace those whose content was
      // lost.
      slot.attempt = commit.attempt();
    }
    nextPosition = state.nextPosition();
  }

  long stepNumber() {
    return state.step();
  }

  /** Marks slots as committed whose commit was read back from the log. */
  void markCommitted() {
    for (SlotProgress slot : slots) {
      if (slot.phase == SlotProgress.Phase.COMMITTING && isCommitInLog(slot)) {
        slot.phase = SlotProgress.Phase.COMMITTED;
      }
    }
  }

  private boolean isCommitInLog(SlotProgress slot) {
    int position = state.positionOf(slot.index);
    return position >= 0 && state.commitAt(position).attempt() == slot.attempt;
  }

  SlotProgress slotAt(long position) {
    if (position < 0 || position >= state.nextPosition()) {
      return null;
    }
    return slots.get(state.commitAt((int) position).slot());
  }

  /** Returns the slots to generate: those that already have a position come first. */
  List<SlotProgress> plannedSlots() {
    List<SlotProgress> planned = new ArrayList<>();
    slots.stream()
        .filter(slot -> slot.phase == SlotProgress.Phase.PLANNED && slot.position >= 0)
        .forEach(planned::add);
    slots.stream()
        .filter(slot -> slot.phase == SlotProgress.Phase.PLANNED && slot.position < 0)
        .forEach(planned::add);
    return planned;
  }

  /**
   * Marks all positions before {@code cursor} as acknowledged and plans later ones whose content
   * was lost.
   */
  void acknowledge(long cursor) {
    for (int position = 0; position < state.nextPosition(); position++) {
      SlotProgress slot = slotAt(position);
      if (position < cursor && slot.phase != SlotProgress.Phase.ACKNOWLEDGED) {
        slot.reset();
        slot.phase = SlotProgress.Phase.ACKNOWLEDGED;
      } else if (position >= cursor && slot.phase == SlotProgress.Phase.CONTENT_LOST) {
        slot.reset();
      }
    }
  }
}
