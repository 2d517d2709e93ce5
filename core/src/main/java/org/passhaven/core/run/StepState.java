package org.passhaven.core.run;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.passhaven.protocol.LogRecord.Commit;
import org.passhaven.protocol.Prompt;

/**
 * Replicated state of one submitted step of a shard: its prompts and the positions of its committed
 * samples. Not thread-safe.
 *
 * <p>Invariant: positions are contiguous from zero and each slot has at most one position.
 */
public final class StepState {
  private static final int NO_POSITION = -1;
  private final long step;
  private final List<Prompt> prompts;
  private final int samplesPerPrompt;
  private final List<Commit> commitsByPosition = new ArrayList<>();
  private final int[] positionOfSlot;

  StepState(long step, List<Prompt> prompts, int samplesPerPrompt) {
    this.step = step;
    this.prompts = List.copyOf(prompts);
    this.samplesPerPrompt = samplesPerPrompt;
    this.positionOfSlot = new int[prompts.size() * samplesPerPrompt];
    Arrays.fill(positionOfSlot, NO_POSITION);
  }

  /** Returns the step number. */
  public long step() {
    return step;
  }

  /** Returns the prompts of this shard's part of the step. */
  public List<Prompt> prompts() {
    return prompts;
  }

  /** Returns the number of samples for each prompt. */
  public int samplesPerPrompt() {
    return samplesPerPrompt;
  }

  /** Returns the number of samples of the step in this shard. */
  public int slotCount() {
    return positionOfSlot.length;
  }

  /** Returns the prompt of a slot. */
  public Prompt promptOf(int slot) {
    return prompts.get(slot / samplesPerPrompt);
  }

  /** Returns the index of a slot among the samples of its prompt. */
  public int sampleIndexOf(int slot) {
    return slot % samplesPerPrompt;
  }

  /** Returns the position of the next new commit. */
  public int nextPosition() {
    return commitsByPosition.size();
  }

  /** Returns the newest commit at a position. */
  public Commit commitAt(int position) {
    return commitsByPosition.get(position);
  }

  /** Returns the position of a slot; negative if it has none. */
  public int positionOf(int slot) {
    return positionOfSlot[slot];
  }

  /** Returns all commits in order of position. */
  public List<Commit> commits() {
    return List.copyOf(commitsByPosition);
  }

  /** Applies a commit; returns false and changes nothing if it would violate the invariant. */
  boolean apply(Commit commit) {
    if (commit.slot() < 0 || commit.slot() >= positionOfSlot.length) {
      return false;
    }
    int position = positionOfSlot[commit.slot()];
    if (position == NO_POSITION) {
      if (commit.position() != commitsByPosition.size()) {
        return false;
      }
      commitsByPosition.add(commit);
      positionOfSlot[commit.slot()] = (int) commit.position();
      return true;
    }
    if (position != commit.position()
        || commit.attempt() <= commitsByPosition.get(position).attempt()) {
      return false;
    }
    commitsByPosition.set(position, commit);
    return true;
  }
}
