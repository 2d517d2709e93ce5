package org.passhaven.core.job;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.ToLongFunction;
import java.util.function.UnaryOperator;
import org.passhaven.core.member.BeatTable;
import org.passhaven.protocol.job.JobRecord.RunTaken;

/**
 * Which node runs the jobs of each run. A node keeps a run until it leaves or falls silent; then
 * the first live candidate takes it, and the next ones if that one does not. The log drops records
 * by age, so a runner writes its claim again well within that. The epoch of a claim is the offset
 * to which its writer had read, and one: no epoch is higher than the offset of its claim, so a
 * later one is above all that were used. Times in monotonic milliseconds. Not thread-safe.
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
  private final Map<String, Long> writtenAt = new HashMap<>();
  private final Map<String, Long> newestOffset = new HashMap<>();

  /**
   * Creates the view of one start of a node.
   *
   * @param candidateKeyOf key by which the candidates for a run are ranked: its stream
   */
  public RunOwners(String node, long incarnation, UnaryOperator<String> candidateKeyOf) {
    this.node = Objects.requireNonNull(node, "node");
    this.incarnation = incarnation;
    this.candidateKeyOf = Objects.requireNonNull(candidateKeyOf, "candidateKeyOf");
  }

  /**
   * Folds a record that was read at {@code nowMillis}; true if the run has got another runner.
   *
   * @param offset place of the record in its stream
   */
  public boolean apply(RunTaken record, long offset, long nowMillis) {
    String run = record.run();
    long newest = newestOffset.getOrDefault(run, -1L);
    // The writer has read the runner's newest claim, or the log no longer has it.
    boolean isValid = record.epoch() > epochOf(run) && newest < record.readTo();
    boolean isRenewal = isOfOwner(record);
    if (!isValid && !isRenewal) {
      return false;
    }
    newestOffset.put(run, offset);
    writtenAt.put(run, nowMillis);
    if (isRenewal) {
      return false;
    }
    owners.put(run, record);
    ownerlessSince.remove(run);
    takenAt.put(run, nowMillis);
    return true;
  }

  private boolean isOfOwner(RunTaken record) {
    RunTaken owner = owners.get(record.run());
    return owner != null
        && owner.epoch() == record.epoch()
        && owner.node().equals(record.node())
        && owner.incarnation() == record.incarnation();
  }

  /** Records of a stream that were not read are gone: who runs its runs is unknown. */
  public void onGap(String stream) {
    owners.keySet().removeIf(run -> candidateKeyOf.apply(run).equals(stream));
    newestOffset.keySet().removeIf(run -> candidateKeyOf.apply(run).equals(stream));
  }

  /**
   * Claims of this node's runs that the log is about to drop, to be appended again.
   *
   * @param renewMillis age from which a claim is written again
   * @param readTo offset up to which a stream was read, by its name
   */
  public List<RunTaken> renewals(long renewMillis, ToLongFunction<String> readTo, long nowMillis) {
    return ownRuns().stream()
        .filter(run -> nowMillis - writtenAt.get(run) >= renewMillis)
        .map(run -> claimOf(run, epochOf(run), readTo.applyAsLong(candidateKeyOf.apply(run))))
        .toList();
  }

  private RunTaken claimOf(String run, long epoch, long readTo) {
    return new RunTaken(run, epoch, node, incarnation, readTo);
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

  /** Runs that some node has taken, whether it is alive or not. */
  public List<String> runs() {
    return List.copyOf(owners.keySet());
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

  /**
   * The record to append if this node is to take a run now.
   *
   * @param readTo offset up to which the run's stream was read
   */
  public Optional<RunTaken> claim(String run, BeatTable beats, long readTo, long nowMillis) {
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
    return Optional.of(claimOf(run, readTo + 1, readTo));
  }

  /** A node may take a run before its first beat is read here: the record tells that it lives. */
  private boolean isAlive(RunTaken owner, BeatTable beats, long nowMillis) {
    boolean hasJustTaken = nowMillis - takenAt.get(owner.run()) < TAKEN_ALIVE_MILLIS;
    return beats.isTaking(owner.node(), owner.incarnation())
        || (hasJustTaken && !beats.isOver(owner.node(), owner.incarnation()));
  }
}
