package org.passhaven.core.run;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.passhaven.protocol.LogRecord.Commit;
import org.passhaven.protocol.Prompt;

/**
 * One submitted step of a shard as folded from its stream: its plan and the slots bound to
 * positions.
 *
 * <p>Invariant: positions are dense from zero and each slot has at most one position.
 */
public final class StepState {
  private static final int UNBOUND = -1;
  private final long step;
  private final List<Prompt> prompts;
  private final int samplesPerPrompt;
  private final List<Commit> byPosition = new ArrayList<>();
  private final int[] positionOfSlot;

  StepState(long step, List<Prompt> prompts, int samplesPerPrompt) {
    this.step = step;
    this.prompts = List.copyOf(prompts);
    this.samplesPerPrompt = samplesPerPrompt;
    this.positionOfSlot = new int[prompts.size() * samplesPerPrompt];
    Arrays.fill(positionOfSlot, UNBOUND);
  }

  /** Step number. */
  public long step() {
    return step;
  }

  /** Prompts of this shard's part of the step. */
  public List<Prompt> prompts() {
    return prompts;
  }

  /** Samples for each prompt. */
  public int samplesPerPrompt() {
    return samplesPerPrompt;
  }

  /** Number of samples of the step in this shard. */
  public int slotCount() {
    return positionOfSlot.length;
  }

  /** Prompt of a slot. */
  public Prompt promptOf(int slot) {
    return prompts.get(slot / samplesPerPrompt);
  }

  /** Place of a slot among the samples of its prompt. */
  public int sampleIndexOf(int slot) {
    return slot % samplesPerPrompt;
  }

  /** Position that the next new commit takes. */
  public int nextPosition() {
    return byPosition.size();
  }

  /** Newest commit at a position. */
  public Commit commitAt(int position) {
    return byPosition.get(position);
  }

  /** Position of a slot; negative if it has none. */
  public int positionOf(int slot) {
    return positionOfSlot[slot];
  }

  /** All commits in order of position. */
  public List<Commit> commits() {
    return List.copyOf(byPosition);
  }

  /** Folds a commit; returns false, and changes nothing, if it would break the invariant. */
  boolean apply(Commit commit) {
    if (commit.slot() < 0 || commit.slot() >= positionOfSlot.length) {
      return false;
    }
    int bound = positionOfSlot[commit.slot()];
    if (bound == UNBOUND) {
      if (commit.position() != byPosition.size()) {
        return false;
      }
      byPosition.add(commit);
      positionOfSlot[commit.slot()] = (int) commit.position();
      return true;
    }
    if (bound != commit.position() || commit.attempt() <= byPosition.get(bound).attempt()) {
      return false;
    }
    byPosition.set(bound, commit);
    return true;
  }
}
