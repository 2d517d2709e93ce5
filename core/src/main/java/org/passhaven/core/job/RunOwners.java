package org.passhaven.core.job;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.ToLongFunction;
import java.util.function.UnaryOperator;
import org.passhaven.core.member.HeartbeatTable;
import org.passhaven.protocol.job.JobRecord.RunClaimed;

/**
 * Tracks which node owns each run, that is, runs its jobs. An owner keeps a run until it leaves or
 * its heartbeats stop; then the live candidates claim the run in order of their rank. The log drops
 * old records, so owners renew their claims. The epoch of a claim is one more than the offset up to
 * which its writer has read the stream; it is thus higher than all epochs before. Times are in
 * monotonic milliseconds. Not thread-safe.
 */
public final class RunOwners {
  private static final long CLAIM_RETRY_MILLIS = 600;
  private static final long DELAY_PER_RANK_MILLIS = 200;
  private static final long NEW_OWNER_GRACE_MILLIS = 1_000;
  private final String node;
  private final long incarnation;
  private final UnaryOperator<String> streamOf;
  private final Map<String, RunClaimed> owners = new HashMap<>();
  private final Map<String, Long> ownerlessSinceMillis = new HashMap<>();
  private final Map<String, Long> claimedAtMillis = new HashMap<>();
  private final Map<String, Long> ownedSinceMillis = new HashMap<>();
  private final Map<String, Long> lastClaimReadAtMillis = new HashMap<>();
  private final Map<String, Long> lastClaimOffset = new HashMap<>();

  /**
   * Creates the view of one incarnation of a node.
   *
   * @param streamOf returns the stream of a run, which is also the key for ranking its candidates
   */
  public RunOwners(String node, long incarnation, UnaryOperator<String> streamOf) {
    this.node = Objects.requireNonNull(node, "node");
    this.incarnation = incarnation;
    this.streamOf = Objects.requireNonNull(streamOf, "candidateKeyOf");
  }

  /**
   * Applies a claim that was read at {@code nowMillis}; returns true if the owner has changed.
   *
   * @param offset offset of the record in its stream
   */
  public boolean apply(RunClaimed record, long offset, long nowMillis) {
    String run = record.run();
    long ownerOffset = lastClaimOffset.getOrDefault(run, -1L);
    // A claim is valid only if its writer had read the owner's last claim.
    boolean isValid = record.epoch() > epochOf(run) && ownerOffset < record.readTo();
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

  private boolean isByCurrentOwner(RunClaimed record) {
    RunClaimed owner = owners.get(record.run());
    return owner != null
        && owner.epoch() == record.epoch()
        && owner.node().equals(record.node())
        && owner.incarnation() == record.incarnation();
  }

  /** Forgets the owners of a stream's runs, because records of the stream were missed. */
  public void onGap(String stream) {
    owners.keySet().removeIf(run -> streamOf.apply(run).equals(stream));
    lastClaimOffset.keySet().removeIf(run -> streamOf.apply(run).equals(stream));
  }

  /**
   * Returns renewals of this node's claims, to be appended before the log drops the claims.
   *
   * @param renewMillis age at which a claim is renewed
   * @param readTo returns the offset up to which a stream was read
   */
  public List<RunClaimed> renewals(
      long renewMillis, ToLongFunction<String> readTo, long nowMillis) {
    return ownedRuns().stream()
        .filter(run -> nowMillis - lastClaimReadAtMillis.get(run) >= renewMillis)
        .map(run -> newClaim(run, epochOf(run), readTo.applyAsLong(streamOf.apply(run))))
        .toList();
  }

  private RunClaimed newClaim(String run, long epoch, long readTo) {
    return new RunClaimed(run, epoch, node, incarnation, readTo);
  }

  /** Returns the epoch of a run's owner; zero if the run has no owner. */
  public long epochOf(String run) {
    RunClaimed owner = owners.get(run);
    return owner == null ? 0 : owner.epoch();
  }

  /** Returns whether this incarnation of this node owns a run. */
  public boolean isOwnedHere(String run) {
    RunClaimed owner = owners.get(run);
    return owner != null && owner.node().equals(node) && owner.incarnation() == incarnation;
  }

  /** Returns the runs that have an owner, alive or not. */
  public List<String> runs() {
    return List.copyOf(owners.keySet());
  }

  /** Returns the runs that this incarnation of this node owns. */
  public List<String> ownedRuns() {
    return owners.keySet().stream().filter(this::isOwnedHere).toList();
  }

  /**
   * Returns whether a run's owner is known to have left or restarted, so that there is no need to
   * wait for a sign of life of it.
   */
  public boolean isOwnerGone(String run, HeartbeatTable heartbeats) {
    RunClaimed owner = owners.get(run);
    return owner != null && heartbeats.hasEnded(owner.node(), owner.incarnation());
  }

  /**
   * Returns the claim to append if this node should claim a run now.
   *
   * @param readTo offset up to which the run's stream was read
   */
  public Optional<RunClaimed> claim(
      String run, HeartbeatTable heartbeats, long readTo, long nowMillis) {
    RunClaimed owner = owners.get(run);
    if (owner != null && isOwnerAlive(owner, heartbeats, nowMillis)) {
      ownerlessSinceMillis.remove(run);
      return Optional.empty();
    }
    long sinceMillis = ownerlessSinceMillis.computeIfAbsent(run, name -> nowMillis);
    long delayMillis = heartbeats.rankForKey(streamOf.apply(run), node) * DELAY_PER_RANK_MILLIS;
    Long lastClaimMillis = claimedAtMillis.get(run);
    boolean isClaimPending =
        lastClaimMillis != null && nowMillis - lastClaimMillis < CLAIM_RETRY_MILLIS;
    if (isClaimPending
        || nowMillis - sinceMillis < delayMillis
        || !heartbeats.isAccepting(node, incarnation)) {
      return Optional.empty();
    }
    claimedAtMillis.put(run, nowMillis);
    return Optional.of(newClaim(run, readTo + 1, readTo));
  }

  /**
   * Returns whether an owner is alive; a recent claim counts as a sign of life, since a node may
   * claim a run before its first heartbeat is read here.
   */
  private boolean isOwnerAlive(RunClaimed owner, HeartbeatTable heartbeats, long nowMillis) {
    boolean isNewOwner = nowMillis - ownedSinceMillis.get(owner.run()) < NEW_OWNER_GRACE_MILLIS;
    return heartbeats.isAccepting(owner.node(), owner.incarnation())
        || (isNewOwner && !heartbeats.hasEnded(owner.node(), owner.incarnation()));
  }
}
