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
  private static final long CLAIM_RETRY_MILLIS = 600;
  private static final long DELAY_PER_RANK_MILLIS = 200;
  private static final long NEW_OWNER_GRACE_MILLIS = 1_000;
  private final String node;
  private final long incarnation;
  private final UnaryOperator<String> streamOf;
  private final Map<String, RunTaken> owners = new HashMap<>();
  private final Map<String, Long> ownerlessSinceMillis = new HashMap<>();
  private final Map<String, Long> claimedAtMillis = new HashMap<>();
  private final Map<String, Long> ownedSinceMillis = new HashMap<>();
  private final Map<String, Long> lastClaimReadAtMillis = new HashMap<>();
  private final Map<String, Long> lastClaimOffset = new HashMap<>();

  /**
   * Creates the view of one start of a node.
   *
   * @param candidateKeyOf key by which the candidates for a run are ranked: its stream
   */
  public RunOwners(String node, long incarnation, UnaryOperator<String> candidateKeyOf) {
    this.node = Objects.requireNonNull(node, "node");
    this.incarnation = incarnation;
    this.streamOf = Objects.requireNonNull(candidateKeyOf, "candidateKeyOf");
  }

  /**
   * Folds a record that was read at {@code nowMillis}; true if the run has got another runner.
   *
   * @param offset place of the record in its stream
   */
  public boolean apply(RunTaken record, long offset, long nowMillis) {
    String run = record.run();
    long newest = lastClaimOffset.getOrDefault(run, -1L);
    // The writer has read the runner's newest claim, or the log no longer has it.
    boolean isValid = record.epoch() > epochOf(run) && newest < record.readTo();
    boolean isRenewal = isByCurrentOwner(record);
    if (!isValid && !isRenewal) {
      return false;
    }
    lastClaimOffset.put(run, offset);
    lastClaimReadAtMillis.put(run, nowMillis);
    if (isRenewal) {
      return false;
    }
    owners.put(run, record);
    ownerlessSinceMillis.remove(run);
    ownedSinceMillis.put(run, nowMillis);
    return true;
  }

  private boolean isByCurrentOwner(RunTaken record) {
    RunTaken owner = owners.get(record.run());
    return owner != null
        && owner.epoch() == record.epoch()
        && owner.node().equals(record.node())
        && owner.incarnation() == record.incarnation();
  }

  /** Records of a stream that were not read are gone: who runs its runs is unknown. */
  public void onGap(String stream) {
    owners.keySet().removeIf(run -> streamOf.apply(run).equals(stream));
    lastClaimOffset.keySet().removeIf(run -> streamOf.apply(run).equals(stream));
  }

  /**
   * Claims of this node's runs that the log is about to drop, to be appended again.
   *
   * @param renewMillis age from which a claim is written again
   * @param readTo offset up to which a stream was read, by its name
   */
  public List<RunTaken> renewals(long renewMillis, ToLongFunction<String> readTo, long nowMillis) {
    return ownRuns().stream()
        .filter(run -> nowMillis - lastClaimReadAtMillis.get(run) >= renewMillis)
        .map(run -> newClaim(run, epochOf(run), readTo.applyAsLong(streamOf.apply(run))))
        .toList();
  }

  private RunTaken newClaim(String run, long epoch, long readTo) {
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
    if (owner != null && isOwnerAlive(owner, beats, nowMillis)) {
      ownerlessSinceMillis.remove(run);
      return Optional.empty();
    }
    long since = ownerlessSinceMillis.computeIfAbsent(run, name -> nowMillis);
    long patience = beats.rankOf(streamOf.apply(run), node) * DELAY_PER_RANK_MILLIS;
    Long claimed = claimedAtMillis.get(run);
    boolean justClaimed = claimed != null && nowMillis - claimed < CLAIM_RETRY_MILLIS;
    if (justClaimed || nowMillis - since < patience || !beats.isTaking(node, incarnation)) {
      return Optional.empty();
    }
    claimedAtMillis.put(run, nowMillis);
    return Optional.of(newClaim(run, readTo + 1, readTo));
  }

  /** A node may take a run before its first beat is read here: the record tells that it lives. */
  private boolean isOwnerAlive(RunTaken owner, BeatTable beats, long nowMillis) {
    boolean hasJustTaken = nowMillis - ownedSinceMillis.get(owner.run()) < NEW_OWNER_GRACE_MILLIS;
    return beats.isTaking(owner.node(), owner.incarnation())
        || (hasJustTaken && !beats.isOver(owner.node(), owner.incarnation()));
  }
}
