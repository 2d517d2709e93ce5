package org.passhaven.core.duty;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.passhaven.protocol.duty.DutyRecord;

/**
 * Decides whether this node may do the duties of one holder now (orders to servers, usage reports,
 * scaling): one lease for all of them, whose epoch is the fence of every call. The fold of one
 * stream decides who holds the lease: the first claim to follow a holder wins. A holder orders only
 * for a short time from the moment at which it sent an intent that it then read back. So whoever
 * reads the stream knows when a predecessor can have ordered last, and waits the hand-over time
 * longer.
 *
 * <p>The stream drops records by age. So a holder writes again well within that age, and whoever
 * reads a record of a holder that it did not know takes it for the holder. The epoch of a claim is
 * the offset to which its writer had read, and one: no epoch is higher than the offset of its
 * claim, so a later one is above all that can ever have been used, whatever its writer has missed.
 * Apart from renewals, nothing is written while no order is due. Times in monotonic milliseconds.
 * Not thread-safe.
 */
public final class DutyLease {
  /**
   * Pace of the lease.
   *
   * @param validMillis time for which an intent allows orders, from when it was sent
   * @param handOverMillis time that must pass between orders of two nodes, that on the way included
   * @param releasedMillis the same if the former holder told that it orders no more
   * @param claimAfterMillis silence of a live holder after which another may claim
   * @param rankMillis time that each next candidate waits longer
   * @param renewMillis time without a record of the holder after which it writes again
   */
  public record Settings(
      long validMillis,
      long handOverMillis,
      long releasedMillis,
      long claimAfterMillis,
      long rankMillis,
      long renewMillis) {}

  private static final long NEVER = Long.MIN_VALUE / 2;
  private static final long READ_BACK_MILLIS = 1_000;
  private final String node;
  private final long incarnation;
  private final Settings settings;
  private final Map<Long, Long> sentAtByNumber = new HashMap<>();

  /** Time from which another node may order as far as this one is concerned, by node. */
  private final Map<String, Long> mayFollowFromMillis = new HashMap<>();

  /** Offset of the next record of the stream. */
  private long readTo;

  private long epoch;
  private String holder = "";

  /** Whether no record by which the lease changed hands can have been missed. */
  private boolean isSure = true;

  /** Newest record of the holder; where the holder is not sure, of anybody. */
  private long newestOffset = -1;

  /** Epoch of this start's newest claim; zero if there is none that can still count. */
  private long claimedEpoch;

  private long holderIncarnation;
  private long lastRecordAt = NEVER;
  private long neededSince = NEVER;
  private long notBefore = NEVER;
  private long validUntil = NEVER;
  private long claimSentAt = NEVER;
  private long intentSentAt = NEVER;
  private long nextNumber = 1;

  /** Creates the lease of one start of a node. */
  public DutyLease(String node, long incarnation, Settings settings) {
    this.node = Objects.requireNonNull(node, "node");
    this.incarnation = incarnation;
    this.settings = Objects.requireNonNull(settings, "settings");
  }

  /** Folds the next record of the stream, which was read at {@code nowMillis}. */
  public void onRecord(DutyRecord record, long nowMillis) {
    readTo++;
    if (!(record instanceof DutyRecord.Claimed)) {
      noteHolder(record, nowMillis);
    }
    if (record instanceof DutyRecord.Claimed claim) {
      onClaim(claim, nowMillis);
    } else if (record instanceof DutyRecord.Intended intent) {
      onIntent(intent, nowMillis);
    } else if (record instanceof DutyRecord.Released release) {
      onRelease(release, nowMillis);
    }
  }

  /** The next record of the stream can't be read. */
  public void onUnreadable() {
    readTo++;
  }

  /**
   * Records that were not read are gone: who holds the lease now is unknown, and this node, if it
   * was the holder, may have been succeeded under epochs that nobody can tell.
   */
  public void onGap(long nextOffset) {
    readTo = nextOffset;
    become("", 0, 0);
    newestOffset = -1;
    isSure = false;
    claimedEpoch = 0;
  }

  /**
   * The clocks have moved apart: intents that were sent before may have lapsed long ago, and so may
   * the lease. A new one, read back, tells.
   */
  public void onClockGap() {
    validUntil = NEVER;
    intentSentAt = NEVER;
    sentAtByNumber.clear();
  }

  private void become(String newHolder, long newIncarnation, long newEpoch) {
    epoch = newEpoch;
    holder = newHolder;
    holderIncarnation = newIncarnation;
    validUntil = NEVER;
    sentAtByNumber.clear();
  }

  /** Only a holder writes such records: whoever did not know it has missed its claim. */
  private void noteHolder(DutyRecord record, long nowMillis) {
    boolean isNews = record.epoch() > epoch || (record.epoch() == epoch && !isSure);
    if (isNews) {
      if (!isOfHolder(record)) {
        become(record.node(), record.incarnation(), record.epoch());
        noteActive(record.node(), nowMillis);
      }
      isSure = true;
    } else if (!isSure) {
      // The claim that is known may have lost; the epoch stays, since it may also have won.
      holder = record.node();
      holderIncarnation = record.incarnation();
      noteActive(record.node(), nowMillis);
    }
    if (!isSure || isOfHolder(record)) {
      newestOffset = readTo - 1;
    }
  }

  private void onClaim(DutyRecord.Claimed claim, long nowMillis) {
    // The writer has read the holder's newest record, or the log no longer has it.
    boolean isValid = claim.epoch() > epoch && newestOffset < claim.readTo();
    if (isValid) {
      become(claim.node(), claim.incarnation(), claim.epoch());
      noteActive(claim.node(), nowMillis);
      if (isHolder()) {
        notBefore = othersMayBeFollowedFrom();
      }
    }
    if (!isSure || isValid) {
      newestOffset = readTo - 1;
    }
  }

  private void onIntent(DutyRecord.Intended intent, long nowMillis) {
    if (!isOfHolder(intent)) {
      return;
    }
    noteActive(intent.node(), nowMillis);
    noteOthersQuiet(intent.node(), nowMillis - intent.othersQuietMillis());
    Long sentAt = isHolder() ? sentAtByNumber.remove(intent.number()) : null;
    if (sentAt != null) {
      validUntil = Math.max(validUntil, sentAt + settings.validMillis());
    }
  }

  private void onRelease(DutyRecord.Released release, long nowMillis) {
    if (isOfHolder(release)) {
      validUntil = NEVER;
      mayFollowFromMillis.put(release.node(), nowMillis + settings.releasedMillis());
    }
  }

  private boolean isOfHolder(DutyRecord record) {
    return record.epoch() == epoch
        && record.node().equals(holder)
        && record.incarnation() == holderIncarnation;
  }

  private void noteActive(String writer, long atMillis) {
    lastRecordAt = atMillis;
    mayFollowFromMillis.put(writer, mayFollowFrom(atMillis));
  }

  /**
   * The writer knew when another node can have ordered last. Whoever has just started reads all
   * records at once, and takes the writer's word for how old those of the others are.
   */
  private void noteOthersQuiet(String writer, long quietSinceMillis) {
    long from = mayFollowFrom(quietSinceMillis);
    mayFollowFromMillis.replaceAll(
        (other, known) -> other.equals(writer) ? known : Math.min(known, from));
  }

  private long mayFollowFrom(long activeAtMillis) {
    return activeAtMillis + settings.validMillis() + settings.handOverMillis();
  }

  /** Time from which this node may order without being close to an order of any other. */
  private long othersMayBeFollowedFrom() {
    return mayFollowFromMillis.entrySet().stream()
        .filter(entry -> !entry.getKey().equals(node))
        .mapToLong(Map.Entry::getValue)
        .max()
        .orElse(NEVER);
  }

  private long othersQuietMillis(long nowMillis) {
    return nowMillis
        - othersMayBeFollowedFrom()
        + settings.validMillis()
        + settings.handOverMillis();
  }

  /** Whether this start of this node holds the lease, by all that was read. */
  public boolean isHolder() {
    return holder.equals(node) && holderIncarnation == incarnation && epoch == claimedEpoch;
  }

  /** Node that holds the lease; empty if nobody ever did. */
  public String holder() {
    return holder;
  }

  /** Start of the node that holds the lease. */
  public long holderIncarnation() {
    return holderIncarnation;
  }

  /** The record by which this node, as the holder, gives the lease up; empty if it is not held. */
  public Optional<DutyRecord> release() {
    return isHolder()
        ? Optional.of(new DutyRecord.Released(epoch, node, incarnation))
        : Optional.empty();
  }

  /** Whether the holder has written lately, so that it is alive whatever else is known of it. */
  public boolean isFresh(long nowMillis) {
    return nowMillis - lastRecordAt < settings.claimAfterMillis();
  }

  /** Fencing token of the holder's orders. */
  public long epoch() {
    return epoch;
  }

  /** Whether an order may be sent at this very moment. */
  public boolean mayAct(long nowMillis) {
    return isHolder() && nowMillis >= notBefore && nowMillis < validUntil;
  }

  /**
   * The record to append now, if any.
   *
   * @param needed whether some order is due
   * @param holderAlive whether the holder is a live node that takes work
   * @param rank place of this node among the candidates, from zero
   */
  public Optional<DutyRecord> next(boolean needed, boolean holderAlive, int rank, long nowMillis) {
    if (!needed) {
      neededSince = NEVER;
      return isRenewalDue(nowMillis) ? nextIntent(nowMillis) : Optional.empty();
    }
    if (neededSince == NEVER) {
      neededSince = nowMillis;
    }
    return isHolder() ? nextIntent(nowMillis) : nextClaim(holderAlive, rank, nowMillis);
  }

  /** The log is about to drop the last record that tells of this holder. */
  private boolean isRenewalDue(long nowMillis) {
    return isHolder() && nowMillis - lastRecordAt >= settings.renewMillis();
  }

  private Optional<DutyRecord> nextIntent(long nowMillis) {
    boolean fresh = validUntil - nowMillis > settings.validMillis() / 2;
    boolean justSent = nowMillis - intentSentAt < settings.validMillis() / 4;
    if (fresh || justSent) {
      return Optional.empty();
    }
    intentSentAt = nowMillis;
    long number = nextNumber++;
    sentAtByNumber.put(number, nowMillis);
    return Optional.of(
        new DutyRecord.Intended(epoch, node, incarnation, number, othersQuietMillis(nowMillis)));
  }

  private Optional<DutyRecord> nextClaim(boolean holderAlive, int rank, long nowMillis) {
    if (nowMillis - claimSentAt < READ_BACK_MILLIS) {
      return Optional.empty();
    }
    long patience = rank * settings.rankMillis();
    if (holderAlive) {
      patience += settings.claimAfterMillis();
    }
    long silentSince = holderAlive ? Math.max(neededSince, lastRecordAt) : neededSince;
    if (nowMillis - silentSince < patience) {
      return Optional.empty();
    }
    claimSentAt = nowMillis;
    claimedEpoch = readTo + 1;
    return Optional.of(new DutyRecord.Claimed(claimedEpoch, node, incarnation, readTo));
  }
}
