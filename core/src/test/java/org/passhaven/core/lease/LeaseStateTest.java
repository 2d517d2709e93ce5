package org.passhaven.core.lease;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class LeaseStateTest {
  private static final LeaseTiming TERMS =
      new LeaseTiming(Duration.ofMillis(6_000), Duration.ofMillis(500), Duration.ofMillis(2_000));

  @Test
  void holderStopsBeforeOthersMayClaim() {
    LeaseState holder = new LeaseState(TERMS, 0);
    LeaseState other = new LeaseState(TERMS, 0);
    holder.onClaimRead(1, true, 1_000, 900);
    other.onClaimRead(1, false, 1_000, 1_000);
    long lastAct = 900 + 6_000 - 500 - 1;
    assertThat("acts to the end", holder.mayAct(lastAct));
    assertThat("stops", !holder.mayAct(lastAct + 1));
    assertThat("others wait twice the drift more", !other.mayClaim(lastAct + 1_000, 0));
    assertThat("others may claim in the end", other.mayClaim(1_000 + 6_000 + 500, 0));
  }

  @Test
  void aRenewalCountsFromTheTimeOfSending() {
    LeaseState holder = new LeaseState(TERMS, 0);
    holder.onClaimRead(1, true, 0, 0);
    holder.onFencedRead(9_000, 2_000);
    assertThat("until 7500", holder.mayAct(7_499) && !holder.mayAct(7_500));
  }

  @Test
  void anOwnClaimIsNeverClaimedAgain() {
    LeaseState holder = new LeaseState(TERMS, 0);
    holder.onClaimRead(1, true, 0, 0);
    assertThat(
        "an expired own claim stays valid until another is read", !holder.mayClaim(1_000_000, 0));
  }

  @Test
  void aReleasedLeaseIsClaimedInOrderOfRank() {
    LeaseState other = new LeaseState(TERMS, 0);
    other.onClaimRead(1, false, 1_000, 1_000);
    other.onReleasedRead();
    assertThat("first rank at once", other.mayClaim(1_000, 0));
    assertThat("second rank waits", !other.mayClaim(1_000, 500));
  }

  @Test
  void termMustExceedRenewalIntervalAndDrift() {
    assertThrows(
        IllegalArgumentException.class,
        () ->
            new LeaseTiming(
                Duration.ofMillis(1_000), Duration.ofMillis(400), Duration.ofMillis(200)));
  }

  @Test
  void aClockJumpSuspendsTheHolderUntilALaterRecordIsRead() {
    LeaseState holder = new LeaseState(TERMS, 0);
    holder.onClaimRead(1, true, 0, 0);
    assertThat("acts", holder.mayAct(100));
    holder.onClockJump(100);
    assertThat("stops at the jump", !holder.mayAct(100));
    holder.onFencedRead(120, 90);
    assertThat("sent before the jump", !holder.mayAct(120));
    // The clock stood still during the suspension, so this may have been sent right before it.
    holder.onFencedRead(120, 100);
    assertThat("sent at the time of the jump", !holder.mayAct(120));
    holder.onFencedRead(150, 130);
    assertThat("sent since the jump", holder.mayAct(150));
    LeaseState other = new LeaseState(TERMS, 0);
    other.onClaimRead(1, false, 1_000, 1_000);
    other.onClockJump(1_100);
    assertThat("a jump does not shorten the wait", !other.mayClaim(1_000 + 6_000 - 1, 0));
  }
}
