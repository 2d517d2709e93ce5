package org.passhaven.core.duty;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.passhaven.protocol.duty.DutyRecord;

/**
 * Leader lease that decides whether this node may perform the singleton duties now (sending orders
 * to servers, usage reports, scaling). One lease covers all of them; its epoch is the fencing token
 * of every call. The state is built from the records of one stream. A claim is valid if its writer
 * had read the holder's newest record; the first valid claim wins. A holder may send orders only
 * for a short time, counted from when it sent an intent that it then read back from the stream.
 * Every reader therefore knows the latest time at which a predecessor can have sent orders, and
 * waits for the handover time in addition.
 *
 * <p>The stream drops records by age. A holder therefore writes again well within that age, and a
 * reader that finds a record of an unknown holder treats its writer as the holder. The epoch of a
 * claim is one more than the offset of the next record that its writer would have read, and
 * therefore exceeds the claim's own offset by at most one. The writer of a later valid claim has
 * read past that offset or skipped it, so the later claim's epoch exceeds all epochs of earlier
 * holders, even if its writer has missed records. Except for renewals, nothing is written while no
 * order is due. Times are in monotonic milliseconds. Not thread-safe.
 */
public final class DutyLease {
  /**
   * Timing of the lease.
   *
   * @param validMillis time for which an intent allows orders, counted from when it was sent
   * @param handoverMillis minimum time between orders of two nodes, including network delay
   * @param handoverAfterReleaseMillis the same after the former holder has released the lease
   * @param claimAfterMillis silence of a live holder after which another node may claim
   * @param waitPerRankMillis additional wait for each rank among the candidates
   * @param renewAfterMillis time without a record of the holder after which it writes again
   */
  public record Settings(
      long validMillis,
      long handoverMillis,
      long handoverAfterReleaseMillis,
      long claimAfterMillis,
      long waitPerRankMillis,
      long renewAfterMillis) {}

  private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;
  private static final long CLAIM_RETRY_MILLIS = 1_000;
  private final String node;
  private final long incarnation;
  private final Settings settings;
  private final Map<Long, Long> sentMillisByNumber = new HashMap<>();

  /** By node that has held the lease: the earliest time at which another node may send orders. */
  private final Map<String, Long> earliestTakeoverMillis = new HashMap<>();

  /** Offset of the next record to read from the stream. */
  private long nextOffset;

  private long epoch;
  private String holder = "";

  /**
   * Whether the holder is known for certain, that is, no change of the holder can have been missed.
   */
  private boolean isHolderCertain = true;

  /**
   * Offset of the holder's newest record; while the holder is uncertain, of the newest record of
   * any node.
   */
  private long newestOffset = -1;

  /** Epoch of this incarnation's newest claim; zero if there is none that can still win. */
  private long claimedEpoch;

  private long holderIncarnation;
  private long lastRecordMillis = NEVER_MILLIS;
  private long neededSinceMillis = NEVER_MILLIS;
  private long notBeforeMillis = NEVER_MILLIS;
  private long validUntilMillis = NEVER_MILLIS;
  private long claimSentMillis = NEVER_MILLIS;
  private long intentSentMillis = NEVER_MILLIS;
  private long nextNumber = 1;

  /** Creates the lease state of one incarnation of a node. */
  public DutyLease(String node, long incarnation, Settings settings) {
    this.node = Objects.requireNonNull(node, "node");
    this.incarnation = incarnation;
    this.settings = Objects.requireNonNull(settings, "settings");
  }

  /** Applies the next record of the stream, read at {@code nowMillis}. */
  public void onRecord(DutyRecord record, long nowMillis) {
    nextOffset++;
    if (!(record instanceof DutyRecord.Claimed)) {
      learnHolder(record, nowMillis);
    }
    if (record instanceof DutyRecord.Claimed claim) {
      onClaim(claim, nowMillis);
    } else if (record instanceof DutyRecord.Intended intent) {
      onIntent(intent, nowMillis);
    } else if (record instanceof DutyRecord.Released release) {
      onRelease(release, nowMillis);
    }
  }

  /** Skips the next record of the stream because it can't be decoded. */
  public void onUnreadable() {
    nextOffset++;
  }

  /**
   * Handles the loss of unread records. The current holder is unknown then, and if this node was
   * the holder, others may have succeeded it under unknown epochs.
   */
  public void onGap(long resumeOffset) {
    nextOffset = resumeOffset;
    setHolder("", 0, 0);
    newestOffset = -1;
    isHolderCertain = false;
    claimedEpoch = 0;
  }

  /**
   * Handles a clock jump: the lease and the intents that were sent before may have expired. Only a
   * new intent that is read back allows orders again.
   */
  public void onClockJump() {
    validUntilMillis = NEVER_MILLIS;
    intentSentMillis = NEVER_MILLIS;
    sentMillisByNumber.clear();
  }

  private void setHolder(String newHolder, long newIncarnation, long newEpoch) {
    epoch = newEpoch;
    holder = newHolder;
    holderIncarnation = newIncarnation;
    validUntilMillis = NEVER_MILLIS;
    sentMillisByNumber.clear();
  }

  /** Learns the holder from a record that only a holder writes, in case its claim was missed. */
  private void learnHolder(DutyRecord record, long nowMillis) {
    boolean isNewHolder = record.epoch() > epoch || (record.epoch() == epoch && !isHolderCertain);
    if (isNewHolder) {
      if (!isOfHolder(record)) {
        setHolder(record.node(), record.incarnation(), record.epoch());
        recordActivity(record.node(), nowMillis);
      }
      isHolderCertain = true;
    } else if (!isHolderCertain) {
      // The claim applied last may be invalid, so the writer of this record is treated as
      // the holder. The epoch is kept, since the claim may also be valid.
      holder = record.node();
      holderIncarnation = record.incarnation();
      recordActivity(record.node(), nowMillis);
    }
    if (!isHolderCertain || isOfHolder(record)) {
      newestOffset = nextOffset - 1;
    }
  }

  private void onClaim(DutyRecord.Claimed claim, long nowMillis) {
    // The writer has read the holder's newest record, or the log no longer has it.
    boolean isValid = claim.epoch() > epoch && newestOffset < claim.readTo();
    if (isValid) {
      setHolder(claim.node(), claim.incarnation(), claim.epoch());
      recordActivity(claim.node(), nowMillis);
      if (isHolder()) {
        notBeforeMillis = latestTakeoverMillis();
      }
    }
    if (!isHolderCertain || isValid) {
      newestOffset = nextOffset - 1;
    }
  }

  private void onIntent(DutyRecord.Intended intent, long nowMillis) {
    if (!isOfHolder(intent)) {
      return;
    }
    recordActivity(intent.node(), nowMillis);
    applySilenceOfOthers(intent.node(), nowMillis - intent.othersQuietMillis());
    Long sentAt = isHolder() ? sentMillisByNumber.remove(intent.number()) : null;
    if (sentAt != null) {
      validUntilMillis = Math.max(validUntilMillis, sentAt + settings.validMillis());
    }
  }

  private void onRelease(DutyRecord.Released release, long nowMillis) {
    if (isOfHolder(release)) {
      validUntilMillis = NEVER_MILLIS;
      earliestTakeoverMillis.put(release.node(), nowMillis + settings.handoverAfterReleaseMillis());
    }
  }

  private boolean isOfHolder(DutyRecord record) {
    return record.epoch() == epoch
        && record.node().equals(holder)
        && record.incarnation() == holderIncarnation;
  }

  private void recordActivity(String writer, long atMillis) {
    lastRecordMillis = atMillis;
    earliestTakeoverMillis.put(writer, takeoverMillisAfter(atMillis));
  }

  /**
   * Applies the writer's knowledge of how long the other nodes have been silent. A node that has
   * just started reads all records at once, so it can't tell their age from the time of reading.
   */
  private void applySilenceOfOthers(String writer, long quietSinceMillis) {
    long from = takeoverMillisAfter(quietSinceMillis);
    earliestTakeoverMillis.replaceAll(
        (other, known) -> other.equals(writer) ? known : Math.min(known, from));
  }

  private long takeoverMillisAfter(long activeAtMillis) {
    return activeAtMillis + settings.validMillis() + settings.handoverMillis();
  }

  /**
   * Returns the latest of the takeover times after all other nodes; this node may send orders from
   * then on.
   */
  private long latestTakeoverMillis() {
    return earliestTakeoverMillis.entrySet().stream()
        .filter(entry -> !entry.getKey().equals(node))
        .mapToLong(Map.Entry::getValue)
        .max()
        .orElse(NEVER_MILLIS);
  }

  private long silenceOfOthersMillis(long nowMillis) {
    return nowMillis - latestTakeoverMillis() + settings.validMillis() + settings.handoverMillis();
  }

  /**
   * Returns whether this incarnation of this node holds the lease according to the records read.
   */
  public boolean isHolder() {
    return holder.equals(node) && holderIncarnation == incarnation && epoch == claimedEpoch;
  }

  /** Returns the node that holds the lease; empty if none is known. */
  public String holder() {
    return holder;
  }

  /** Returns the incarnation of the node that holds the lease. */
  public long holderIncarnation() {
    return holderIncarnation;
  }

  /** Returns the record that releases the lease; empty if this node does not hold it. */
  public Optional<DutyRecord> releaseRecord() {
    return isHolder()
        ? Optional.of(new DutyRecord.Released(epoch, node, incarnation))
        : Optional.empty();
  }

  /** Returns whether the holder has written recently, which shows that it is alive. */
  public boolean isRecentlyActive(long nowMillis) {
    return nowMillis - lastRecordMillis < settings.claimAfterMillis();
  }

  /** Returns the fencing token of the holder's orders. */
  public long epoch() {
    return epoch;
  }

  /** Returns whether this node may send an order at this moment. */
  public boolean mayOrder(long nowMillis) {
    return isHolder() && nowMillis >= notBeforeMillis && nowMillis < validUntilMillis;
  }

  /**
   * Returns the record to append now, if any.
   *
   * @param isNeeded whether an order is due
   * @param isHolderAlive whether the holder is a live node that accepts work
   * @param rank rank of this node among the candidates, from zero
   */
  public Optional<DutyRecord> nextRecord(
      boolean isNeeded, boolean isHolderAlive, int rank, long nowMillis) {
    if (!isNeeded) {
      neededSinceMillis = NEVER_MILLIS;
      return isRenewalDue(nowMillis) ? nextIntent(nowMillis) : Optional.empty();
    }
    if (neededSinceMillis == NEVER_MILLIS) {
      neededSinceMillis = nowMillis;
    }
    return isHolder() ? nextIntent(nowMillis) : nextClaim(isHolderAlive, rank, nowMillis);
  }

  /**
   * Returns whether this node is the holder and must write again before the log drops its last
   * record.
   */
  private boolean isRenewalDue(long nowMillis) {
    return isHolder() && nowMillis - lastRecordMillis >= settings.renewAfterMillis();
  }

  private Optional<DutyRecord> nextIntent(long nowMillis) {
    boolean isValidForLong = validUntilMillis - nowMillis > settings.validMillis() / 2;
    boolean isRecentlySent = nowMillis - intentSentMillis < settings.validMillis() / 4;
    if (isValidForLong || isRecentlySent) {
      return Optional.empty();
    }
    intentSentMillis = nowMillis;
    long number = nextNumber++;
    sentMillisByNumber.put(number, nowMillis);
    return Optional.of(
        new DutyRecord.Intended(
            epoch, node, incarnation, number, silenceOfOthersMillis(nowMillis)));
  }

  private Optional<DutyRecord> nextClaim(boolean isHolderAlive, int rank, long nowMillis) {
    if (nowMillis - claimSentMillis < CLAIM_RETRY_MILLIS) {
      return Optional.empty();
    }
    long waitMillis = rank * settings.waitPerRankMillis();
    if (isHolderAlive) {
      waitMillis += settings.claimAfterMillis();
    }
    long silentSinceMillis =
        isHolderAlive ? Math.max(neededSinceMillis, lastRecordMillis) : neededSinceMillis;
    if (nowMillis - silentSinceMillis < waitMillis) {
      return Optional.empty();
    }
    claimSentMillis = nowMillis;
    claimedEpoch = nextOffset + 1;
    return Optional.of(new DutyRecord.Claimed(claimedEpoch, node, incarnation, nextOffset));
  }
}
