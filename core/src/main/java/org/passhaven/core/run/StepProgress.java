package org.passhaven.core.run;

import java.util.ArrayList;
import java.util.List;
import org.passhaven.protocol.LogRecord.Commit;

/** What the owner holds in memory of one step: a {@link SlotWork} for each slot of the fold. */
final class StepWork {
  final StepState state;
  final List<SlotWork> slots = new ArrayList<>();
  int nextPosition;

  StepWork(StepState state) {
    this.state = state;
    for (int slot = 0; slot < state.slotCount(); slot++) {
      slots.add(new SlotWork(slot));
    }
    for (Commit commit : state.commits()) {
      SlotWork slot = slots.get(commit.slot());
      slot.position = (int) commit.position();
      slot.phase = SlotWork.Phase.LOST;
      // A successor goes on counting, so that its commits replace those whose content was lost.
      slot.attempt = commit.attempt();
    }
    nextPosition = state.nextPosition();
  }

  long number() {
    return state.step();
  }

  /** Marks commits that were read back with the content that is held. */
  void onFolded() {
    for (SlotWork slot : slots) {
      if (slot.phase == SlotWork.Phase.COMMITTING && isFolded(slot)) {
        slot.phase = SlotWork.Phase.COMMITTED;
      }
    }
  }

  private boolean isFolded(SlotWork slot) {
    int position = state.positionOf(slot.slot);
    return position >= 0 && state.commitAt(position).attempt() == slot.attempt;
  }

  SlotWork atPosition(long position) {
    if (position < 0 || position >= state.nextPosition()) {
      return null;
    }
    return slots.get(state.commitAt((int) position).slot());
  }

  /** Slots to generate: those that hold back a bound position first, then in order of the plan. */
  List<SlotWork> plannedFirstCommitted() {
    List<SlotWork> planned = new ArrayList<>();
    slots.stream()
        .filter(slot -> slot.phase == SlotWork.Phase.PLANNED && slot.position >= 0)
        .forEach(planned::add);
    slots.stream()
        .filter(slot -> slot.phase == SlotWork.Phase.PLANNED && slot.position < 0)
        .forEach(planned::add);
    return planned;
  }

  /** The trainer keeps every position before {@code cursor} and none after it. */
  void acknowledge(long cursor) {
    for (int position = 0; position < state.nextPosition(); position++) {
      SlotWork slot = atPosition(position);
      if (position < cursor && slot.phase != SlotWork.Phase.ACKNOWLEDGED) {
        slot.reset();
        slot.phase = SlotWork.Phase.ACKNOWLEDGED;
      } else if (position >= cursor && slot.phase == SlotWork.Phase.LOST) {
        slot.reset();
      }
    }
  }
}
