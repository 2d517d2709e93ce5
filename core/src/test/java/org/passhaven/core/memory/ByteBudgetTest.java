package org.passhaven.core.memory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.passhaven.core.memory.ByteBudget.Reservation;

/** Guards against running out of memory and against large bodies blocking small ones. */
class ByteBudgetTest {
  private static final long MB = 1L << 20;
  private static final int ORDINARY_BYTES = 800;
  private static final List<BodyPurpose> PURPOSES = List.of(BodyPurpose.values());
  private final ByteBudget budget = ByteBudget.of(290 * MB, 128 * MB);

  private Reservation held(BodyPurpose purpose, long bytes) {
    Reservation reservation = budget.open(purpose);
    assertThat(reservation.tryGrow(bytes), is(true));
    return reservation;
  }

  private List<Reservation> fill(BodyPurpose purpose, long bytes) {
    List<Reservation> taken = new ArrayList<>();
    while (true) {
      Reservation next = budget.open(purpose);
      if (!next.tryGrow(bytes)) {
        return taken;
      }
      taken.add(next);
    }
  }

  @Test
  void theBudgetIsTheSmallerOfTheMemoryAndHeapFractions() {
    assertThat(budget.totalBytes(), equalTo(48 * MB));
    assertThat(ByteBudget.of(682 * MB, 128 * MB).totalBytes(), equalTo(48 * MB));
    assertThat(ByteBudget.of(120 * MB, 128 * MB).totalBytes(), equalTo(20 * MB));
    assertThrows(IllegalArgumentException.class, () -> ByteBudget.of(0, 128 * MB));
  }

  @Test
  void theLargestBodyOfTheUsualLimitFitsIntoAnIdleNode() {
    for (BodyPurpose purpose : List.of(BodyPurpose.REQUEST, BodyPurpose.ANSWER)) {
      assertThat(budget.largestBodyBytes(purpose), greaterThanOrEqualTo(32 * MB));
      held(purpose, budget.largestBodyBytes(purpose)).release();
    }
    Reservation tooLarge = budget.open(BodyPurpose.REQUEST);
    assertThat(tooLarge.tryGrow(budget.largestBodyBytes(BodyPurpose.REQUEST) + 1), is(false));
    assertThat(budget.heldBytes(), equalTo(0L));
  }

  @Test
  void aThousandUnreadResponsesLeaveRoomForOtherRequestsAndPurposes() {
    List<Reservation> unread = fill(BodyPurpose.ANSWER, 200_000);
    assertThat(unread.size(), lessThan(1_000));
    assertThat(unread.size(), greaterThan(100));
    held(BodyPurpose.REQUEST, MB);
    held(BodyPurpose.JOB, MB);
    for (int i = 0; i < 500; i++) {
      held(BodyPurpose.REQUEST, ORDINARY_BYTES);
      held(BodyPurpose.ANSWER, ORDINARY_BYTES);
    }
    assertThat(budget.heldBytes(), lessThanOrEqualTo(budget.totalBytes()));
  }

  @Test
  void eachPurposeKeepsItsShareWhenAnotherTakesAllItCan() {
    for (BodyPurpose greedy : BodyPurpose.values()) {
      List<Reservation> taken = fill(greedy, 100_000);
      for (BodyPurpose other : BodyPurpose.values()) {
        if (other != greedy) {
          held(other, MB).release();
        }
      }
      taken.forEach(Reservation::release);
      assertThat(budget.heldBytes(), equalTo(0L));
    }
  }

  @Test
  void smallBodiesMayUseTheWholeBudgetAndAreThenRefused() {
    fill(BodyPurpose.REQUEST, MB);
    List<Reservation> small = fill(BodyPurpose.REQUEST, ByteBudget.SMALL_BODY_BYTES);
    assertThat(small.size(), greaterThan(100));
    assertThat(
        budget.totalBytes() - budget.heldBytes(), lessThan(2L * ByteBudget.SMALL_BODY_BYTES));
    assertThat(budget.heldBytes(), lessThanOrEqualTo(budget.totalBytes()));
  }

  @Test
  void aBodyThatOutgrowsTheSmallSizeIsTreatedAsLarge() {
    fill(BodyPurpose.REQUEST, MB);
    fill(BodyPurpose.REQUEST, 20_000);
    Reservation growing = held(BodyPurpose.REQUEST, ByteBudget.SMALL_BODY_BYTES);
    assertThat(growing.tryGrow(1), is(false));
    growing.release();
  }

  @Test
  void eachReservationIsReleasedOnceAndHoldsNothingAfterwards() {
    int[] releases = new int[1];
    budget.setReleaseListener(() -> releases[0]++);
    Reservation body = held(BodyPurpose.REQUEST, MB);
    body.release();
    body.release();
    assertThat(releases[0], equalTo(1));
    assertThat(budget.heldBytes(), equalTo(0L));
    assertThat(body.tryGrow(1), is(false));
    body.forceGrow(1);
    assertThat(budget.heldBytes(), equalTo(0L));
    assertThrows(IllegalArgumentException.class, () -> budget.open(BodyPurpose.JOB).tryGrow(-1));
  }

  @Test
  void countsNeverLeakNorBecomeNegativeUnderRandomUse() {
    Random random = new Random(39);
    List<Reservation> open = new ArrayList<>();
    for (int i = 0; i < 20_000; i++) {
      if (open.isEmpty() || random.nextInt(3) > 0) {
        Reservation next = budget.open(PURPOSES.get(random.nextInt(PURPOSES.size())));
        next.tryGrow(random.nextInt(8) == 0 ? random.nextInt(4 << 20) : random.nextInt(2_000));
        open.add(next);
      } else {
        Reservation existing = open.get(random.nextInt(open.size()));
        if (random.nextBoolean()) {
          existing.tryGrow(random.nextInt(100_000));
        } else {
          existing.release();
          open.remove(existing);
        }
      }
      assertThat(budget.heldBytes(), lessThanOrEqualTo(budget.totalBytes()));
      for (BodyPurpose purpose : BodyPurpose.values()) {
        assertThat(budget.heldBytes(purpose), greaterThanOrEqualTo(0L));
      }
    }
    open.forEach(Reservation::release);
    assertThat(budget.heldBytes(), equalTo(0L));
    assertThat(budget.peakBytes(), greaterThan(0L));
  }
}
