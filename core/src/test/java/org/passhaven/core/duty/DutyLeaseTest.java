package org.passhaven.core.duty;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.passhaven.protocol.duty.DutyRecord;
import org.passhaven.protocol.duty.DutyRecord.Claimed;
import org.passhaven.protocol.duty.DutyRecord.Intended;

class DutyLeaseTest {
  private static final long VALID_MILLIS = 1_000;
  private static final long HANDOVER_MILLIS = 3_000;
  private static final long RENEW_MILLIS = 5_000;
  private static final DutyLease.Settings SETTINGS =
      new DutyLease.Settings(
          VALID_MILLIS, HANDOVER_MILLIS, HANDOVER_MILLIS, 2_000, 400, RENEW_MILLIS);

  private static DutyLease lease(String node) {
    return new DutyLease(node, 7, SETTINGS);
  }

  private static Optional<DutyRecord> next(DutyLease lease, long now) {
    return lease.nextRecord(true, true, 0, now);
  }

  @Test
  void theHolderMayOrderOnceItsIntentIsReadBack() {
    DutyLease a = lease("a");
    DutyRecord claim = a.nextRecord(true, false, 0, 0).orElseThrow();
    assertThat(claim, instanceOf(Claimed.class));
    a.onRecord(claim, 10);
    DutyRecord intent = next(a, 20).orElseThrow();
    assertThat(a.mayOrder(25), is(false));
    a.onRecord(intent, 30);
    assertThat(a.mayOrder(30), is(true));
    // Counted from when the intent was sent, not from when it was read.
    assertThat(a.mayOrder(20 + VALID_MILLIS - 1), is(true));
    assertThat(a.mayOrder(20 + VALID_MILLIS), is(false));
  }

  @Test
  void aClockJumpInvalidatesIntentsUntilANewOneIsReadBack() {
    DutyLease a = lease("a");
    a.onRecord(a.nextRecord(true, false, 0, 0).orElseThrow(), 10);
    a.onRecord(next(a, 20).orElseThrow(), 30);
    DutyRecord underWay = next(a, 20 + VALID_MILLIS / 2 + 1).orElseThrow();
    assertThat(a.mayOrder(600), is(true));
    a.onClockJump();
    assertThat(a.mayOrder(600), is(false));
    a.onRecord(underWay, 610);
    assertThat("sent before the jump", a.mayOrder(610), is(false));
    a.onRecord(next(a, 620).orElseThrow(), 630);
    assertThat("sent since the jump", a.mayOrder(630), is(true));
  }

  @Test
  void aSuccessorWaitsForTheValidityOfTheLastIntentPlusTheHandoverTime() {
    DutyLease b = lease("b");
    b.onRecord(new Claimed(1, "a", 1, 0), 100);
    b.onRecord(new Intended(1, "a", 1, 1, 0), 200);
    DutyRecord claim = b.nextRecord(true, false, 0, 300).orElseThrow();
    b.onRecord(claim, 310);
    long from = 200 + VALID_MILLIS + HANDOVER_MILLIS;
    DutyRecord intent = next(b, from - 50).orElseThrow();
    b.onRecord(intent, from - 40);
    assertThat(b.mayOrder(from - 1), is(false));
    assertThat(b.mayOrder(from), is(true));
    // The node had read two records when it claimed.
    assertThat(b.epoch(), equalTo(3L));
  }

  @Test
  void anIntentThatLandsAfterAnotherNodesClaimAllowsNoOrders() {
    DutyLease a = lease("a");
    a.onRecord(a.nextRecord(true, false, 0, 0).orElseThrow(), 1);
    DutyRecord intent = next(a, 2).orElseThrow();
    a.onRecord(new Claimed(2, "b", 3, 1), 3);
    a.onRecord(intent, 4);
    assertThat(a.isHolder(), is(false));
    assertThat(a.mayOrder(5), is(false));
  }

  @Test
  void theFirstOfTwoClaimsOfOneEpochWins() {
    DutyLease a = lease("a");
    DutyRecord own = a.nextRecord(true, false, 0, 0).orElseThrow();
    a.onRecord(new Claimed(1, "b", 3, 0), 1);
    a.onRecord(own, 2);
    assertThat(a.holder(), equalTo("b"));
  }

  @Test
  void aClaimOfAnEarlierIncarnationIsNotItsOwn() {
    DutyLease a = lease("a");
    a.onRecord(new Claimed(1, "a", 6, 0), 1);
    assertThat(a.isHolder(), is(false));
  }

  @Test
  void noNodeClaimsWhileTheHolderIsActive() {
    DutyLease b = lease("b");
    b.onRecord(new Claimed(1, "a", 1, 0), 0);
    for (long now = 0; now < 10_000; now += 500) {
      b.onRecord(new Intended(1, "a", 1, now, 0), now);
      assertThat(next(b, now + 1).isPresent(), is(false));
    }
    assertThat(next(b, 9_500 + 2_001).isPresent(), is(true));
  }

  @Test
  void aReleaseLetsTheSuccessorOrderEarlier() {
    DutyLease b = lease("b");
    b.onRecord(new Claimed(1, "a", 1, 0), 100);
    b.onRecord(new Intended(1, "a", 1, 1, 0), 200);
    b.onRecord(new DutyRecord.Released(1, "a", 1), 300);
    b.onRecord(b.nextRecord(true, false, 0, 310).orElseThrow(), 320);
    long from = 300 + HANDOVER_MILLIS;
    b.onRecord(next(b, from - 50).orElseThrow(), from - 40);
    assertThat(b.mayOrder(from - 1), is(false));
    assertThat(b.mayOrder(from), is(true));
  }

  @Test
  void aReleaseDoesNotShortenTheWaitForAnEarlierHolder() {
    DutyLease c = lease("c");
    c.onRecord(new Claimed(1, "a", 1, 0), 0);
    c.onRecord(new Intended(1, "a", 1, 1, 0), 1_000);
    c.onRecord(new Claimed(2, "b", 1, 2), 1_100);
    c.onRecord(new DutyRecord.Released(2, "b", 1), 1_200);
    c.onRecord(c.nextRecord(true, false, 0, 1_210).orElseThrow(), 1_220);
    long from = 1_000 + VALID_MILLIS + HANDOVER_MILLIS;
    c.onRecord(next(c, from - 50).orElseThrow(), from - 40);
    assertThat(c.mayOrder(from - 1), is(false));
    assertThat(c.mayOrder(from), is(true));
  }

  @Test
  void aRestartedHolderDoesNotWaitForHoldersOfLongAgo() {
    DutyLease again = new DutyLease("a", 8, SETTINGS);
    again.onRecord(new Claimed(1, "b", 1, 0), 50_000);
    again.onRecord(new Intended(1, "b", 1, 1, 0), 50_000);
    again.onRecord(new Claimed(2, "a", 7, 2), 50_000);
    again.onRecord(new Intended(2, "a", 7, 1, VALID_MILLIS + HANDOVER_MILLIS + 10), 50_000);
    again.onRecord(again.nextRecord(true, false, 0, 50_010).orElseThrow(), 50_020);
    again.onRecord(next(again, 50_030).orElseThrow(), 50_040);
    assertThat(again.mayOrder(50_040), is(true));
    DutyLease other = new DutyLease("c", 8, SETTINGS);
    other.onRecord(new Claimed(2, "a", 7, 0), 50_000);
    other.onRecord(new Intended(2, "a", 7, 1, VALID_MILLIS + HANDOVER_MILLIS + 10), 50_000);
    assertThat(other.mayOrder(50_040), is(false));
  }

  @Test
  void aHolderThatReleasedTheLeaseMayNotOrder() {
    DutyLease a = lease("a");
    a.onRecord(a.nextRecord(true, false, 0, 0).orElseThrow(), 1);
    a.onRecord(next(a, 2).orElseThrow(), 3);
    assertThat(a.mayOrder(4), is(true));
    a.onRecord(a.releaseRecord().orElseThrow(), 5);
    assertThat(a.mayOrder(6), is(false));
  }

  @Test
  void noRecordIsWrittenWhileNoOrderIsDue() {
    DutyLease a = lease("a");
    assertThat(a.nextRecord(false, false, 0, 0).isPresent(), is(false));
  }

  @Test
  void aHolderRenewsBeforeTheLogDropsItsRecords() {
    DutyLease a = lease("a");
    a.onRecord(a.nextRecord(true, false, 0, 0).orElseThrow(), 1);
    assertThat(a.nextRecord(false, true, 0, RENEW_MILLIS).isPresent(), is(false));
    DutyRecord again = a.nextRecord(false, true, 0, RENEW_MILLIS + 1).orElseThrow();
    assertThat(again.epoch(), equalTo(1L));
    a.onRecord(again, RENEW_MILLIS + 10);
    assertThat(a.nextRecord(false, true, 0, RENEW_MILLIS + 20).isPresent(), is(false));
  }

  @Test
  void aClaimAfterDroppedRecordsUsesAnEpochAboveAllFormerOnes() {
    DutyLease c = lease("c");
    c.onGap(500);
    Claimed claim = (Claimed) c.nextRecord(true, false, 0, 0).orElseThrow();
    assertThat(claim.epoch(), equalTo(501L));
    c.onRecord(claim, 10);
    assertThat(c.isHolder(), is(true));
  }

  @Test
  void aReaderThatMissedTheClaimLearnsTheHolderFromItsRecords() {
    DutyLease c = lease("c");
    c.onGap(500);
    c.onRecord(new Intended(5, "a", 1, 9, 0), 0);
    assertThat(c.holder(), equalTo("a"));
    assertThat(c.epoch(), equalTo(5L));
    assertThat(((Claimed) c.nextRecord(true, false, 0, 1).orElseThrow()).epoch(), equalTo(502L));
  }

  @Test
  void aClaimByANodeThatMissedALiveHoldersRecordIsInvalid() {
    DutyLease b = lease("b");
    b.onRecord(new Claimed(1, "a", 1, 0), 0);
    b.onRecord(new Intended(1, "a", 1, 1, 0), 0);
    // The writer had read the stream up to the intent, but not the intent itself.
    b.onRecord(new Claimed(2_000, "c", 1, 1), 1);
    assertThat(b.holder(), equalTo("a"));
    // This writer had read further, and the log had dropped all records of the holder.
    b.onRecord(new Claimed(2_000, "c", 1, 2), 2);
    assertThat(b.holder(), equalTo("c"));
  }

  @Test
  void aLateIntentOfAFormerHolderDoesNotCauseAReusedEpoch() {
    DutyLease c = lease("c");
    c.onGap(500);
    // Sent by a node that had paused longer than the log's retention and had missed all records
    // since.
    c.onRecord(new Intended(1, "a", 1, 9, 0), 0);
    Claimed claim = (Claimed) c.nextRecord(true, false, 0, 1).orElseThrow();
    // The successor, whose records were dropped, may have used any epoch up to its own offset.
    assertThat(claim.epoch(), greaterThan(500L));
  }

  @Test
  void aHolderThatMissedRecordsMayNotOrderUnderItsEpoch() {
    DutyLease a = lease("a");
    a.onRecord(a.nextRecord(true, false, 0, 0).orElseThrow(), 1);
    DutyRecord intent = next(a, 2).orElseThrow();
    a.onRecord(intent, 3);
    assertThat(a.mayOrder(4), is(true));
    a.onGap(300);
    assertThat(a.mayOrder(5), is(false));
    a.onRecord(new Intended(1, "a", 7, 2, 0), 6);
    assertThat(a.isHolder(), is(false));
    assertThat(a.mayOrder(7), is(false));
    Claimed claim = (Claimed) a.nextRecord(true, false, 0, 5_000).orElseThrow();
    assertThat(claim.epoch(), equalTo(302L));
  }

  /** Simulates nodes with delays, pauses and overlapping claims. */
  @Test
  void ordersOfTwoNodesAreSeparatedByTheHandoverTime() {
    int handovers = 0;
    for (int seed = 1; seed <= 300; seed++) {
      handovers += new Simulation(seed, Long.MAX_VALUE).run();
    }
    assertThat(handovers, greaterThan(100));
  }

  /** Also lets the log drop records, so that nodes start without the claim or miss records. */
  @Test
  void ordersOfTwoNodesAreSeparatedByTheHandoverTimeThoughTheLogDropsRecords() {
    int handovers = 0;
    for (int seed = 1; seed <= 600; seed++) {
      handovers += new Simulation(seed, 3 * RENEW_MILLIS).run();
    }
    assertThat(handovers, greaterThan(200));
  }

  /** Simulation of one log and three nodes that read it late, claim eagerly and pause at times. */
  private static final class Simulation {
    private final Random random;
    private final List<String> names = List.of("a", "b", "c");
    private final List<DutyLease> leases =
        new ArrayList<>(List.of(lease("a"), lease("b"), lease("c")));
    private long nextIncarnation = 100;
    private final int[] nextIndexByNode = new int[3];
    private final long[] pausedUntilMillis = new long[3];
    private final long ageMillis;
    private final List<Long> appendedAtMillis = new ArrayList<>();
    private final List<DutyRecord> log = new ArrayList<>();
    private int firstKept;
    private final List<DutyRecord> delayedRecords = new ArrayList<>();
    private int lastNode = -1;
    private long lastOrderMillis;
    private long lastFence;

    Simulation(long seed, long ageMillis) {
      random = new Random(seed);
      this.ageMillis = ageMillis;
    }

    private void append(DutyRecord record, long now) {
      log.add(record);
      appendedAtMillis.add(now);
    }

    private void dropOld(long now) {
      while (firstKept < log.size() && now - appendedAtMillis.get(firstKept) >= ageMillis) {
        firstKept++;
      }
    }

    private void restart(int node) {
      leases.set(node, new DutyLease(names.get(node), nextIncarnation++, SETTINGS));
      nextIndexByNode[node] = 0;
    }

    int run() {
      int handovers = 0;
      for (long now = 0; now < 60_000; now += 50) {
        dropOld(now);
        for (int node = 0; node < 3; node++) {
          if (now >= pausedUntilMillis[node]) {
            handovers += step(node, now);
          }
        }
        if (!delayedRecords.isEmpty() && random.nextInt(10) == 0) {
          append(delayedRecords.remove(0), now);
        }
      }
      return handovers;
    }

    private int step(int node, long now) {
      DutyLease lease = leases.get(node);
      if (random.nextInt(200) == 0) {
        boolean isLong = ageMillis != Long.MAX_VALUE && random.nextInt(5) == 0;
        pausedUntilMillis[node] = now + random.nextInt(isLong ? 30_000 : 8_000);
        return 0;
      }
      if (random.nextInt(100) == 0) {
        // A new incarnation of the node reads all records at once.
        restart(node);
        return 0;
      }
      if (random.nextInt(200) == 0 && lease.releaseRecord().isPresent()) {
        append(lease.releaseRecord().orElseThrow(), now);
        restart(node);
        return 0;
      }
      if (nextIndexByNode[node] < firstKept) {
        nextIndexByNode[node] = firstKept;
        lease.onGap(firstKept);
      }
      boolean readsAll = random.nextInt(4) == 0;
      while (nextIndexByNode[node] < log.size() && (readsAll || random.nextInt(3) > 0)) {
        lease.onRecord(log.get(nextIndexByNode[node]++), now);
      }
      boolean isHolderAlive = random.nextInt(4) > 0;
      lease
          .nextRecord(isNeeded(now), isHolderAlive, node, now)
          .ifPresent(record -> send(record, now));
      return lease.mayOrder(now) ? order(node, lease.epoch(), now) : 0;
    }

    /** While no order is due only the holder writes, to renew. */
    private boolean isNeeded(long now) {
      return ageMillis == Long.MAX_VALUE || now / 15_000 % 2 == 0;
    }

    private void send(DutyRecord record, long now) {
      if (random.nextInt(8) == 0) {
        delayedRecords.add(record);
      } else {
        append(record, now);
      }
    }

    private int order(int node, long fence, long now) {
      boolean handover = lastNode >= 0 && lastNode != node;
      if (handover) {
        assertThat(now - lastOrderMillis, greaterThanOrEqualTo(HANDOVER_MILLIS));
        assertThat(fence, greaterThan(lastFence));
      }
      assertThat(fence, greaterThanOrEqualTo(lastFence));
      lastNode = node;
      lastOrderMillis = now;
      lastFence = fence;
      return handover ? 1 : 0;
    }
  }
}
