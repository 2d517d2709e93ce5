package org.passhaven.core.job;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.passhaven.core.member.BeatTable;
import org.passhaven.protocol.job.JobRecord.RunTaken;

/**
 * Which node runs the jobs of each run. A node keeps a run until it leaves or falls silent; then
 * the first live candidate takes it, and the next ones if that one does not. Times in monotonic
 * milliseconds. Not thread-safe.
 */
public final class RunOwners {
  private static final long READ_BACK_MILLIS = 600;
  private static final long RANK_MILLIS = 200;
  private static final long TAKEN_ALIVE_MILLIS = 1_000;
  private final String node;
  private final long incarnation;
  private final UnaryOperator<String> candidateKeyOf;
  private final Map<String, RunTaken> owners = new HashMap<>();
  private final Map<String, Long> ownerlessSince = new HashMap<>();
  private final Map<String, Long> claimedAt = new HashMap<>();
  private final Map<String, Long> takenAt = new HashMap<>();

  /**
   * Creates the view of one start of a node.
   *
   * @param candidateKeyOf key by which the candidates for a run are ranked
   */
  public RunOwners(String node, long incarnation, UnaryOperator<String> candidateKeyOf) {
    this.node = Objects.requireNonNull(node, "node");
    this.incarnation = incarnation;
    this.candidateKeyOf = Objects.requireNonNull(candidateKeyOf, "candidateKeyOf");
  }

  /** Folds a record that was read at {@code nowMillis}; true if it took effect. */
  public boolean apply(RunTaken record, long nowMillis) {
    if (record.epoch() != epochOf(record.run()) + 1) {
      return false;
    }
    owners.put(record.run(), record);
    ownerlessSince.remove(record.run());
    takenAt.put(record.run(), nowMillis);
    return true;
  }

  /** Epoch of a run's owner; zero if nobody has taken the run. */
  public long epochOf(String run) {
    RunTaken owner = owners.get(run);
    return owner == null ? 0 : owner.epoch();
  }

  /** Whether this start of this node runs a run. */
  public boolean isOwn(String run) {
    RunTaken owner = owners.get(run);
    return owner != null && owner.node().equals(node) && owner.incarnation() == incarnation;
  }

  /** Runs that this start of this node runs. */
  public List<String> ownRuns() {
    return owners.keySet().stream().filter(this::isOwn).toList();
  }

  /**
   * Whether a run's owner is known to have left or to have been started anew, so that nobody needs
   * to wait for a sign of it.
   */
  public boolean isOwnerOver(String run, BeatTable beats) {
    RunTaken owner = owners.get(run);
    return owner != null && beats.isOver(owner.node(), owner.incarnation());
  }

  /** The record to append if this node is to take a run now. */
  public Optional<RunTaken> claim(String run, BeatTable beats, long nowMillis) {
    RunTaken owner = owners.get(run);
    if (owner != null && isAlive(owner, beats, nowMillis)) {
      ownerlessSince.remove(run);
      return Optional.empty();
    }
    long since = ownerlessSince.computeIfAbsent(run, name -> nowMillis);
    long patience = beats.rankOf(candidateKeyOf.apply(run), node) * RANK_MILLIS;
    Long claimed = claimedAt.get(run);
    boolean justClaimed = claimed != null && nowMillis - claimed < READ_BACK_MILLIS;
    if (justClaimed || nowMillis - since < patience || !beats.isTaking(node, incarnation)) {
      return Optional.empty();
    }
    claimedAt.put(run, nowMillis);
    return Optional.of(new RunTaken(run, epochOf(run) + 1, node, incarnation));
  }

  /** A node may take a run before its first beat is read here: the record tells that it lives. */
  private boolean isAlive(RunTaken owner, BeatTable beats, long nowMillis) {
    boolean hasJustTaken = nowMillis - takenAt.get(owner.run()) < TAKEN_ALIVE_MILLIS;
    return beats.isTaking(owner.node(), owner.incarnation())
        || (hasJustTaken && !beats.isOver(owner.node(), owner.incarnation()));
  }
}
