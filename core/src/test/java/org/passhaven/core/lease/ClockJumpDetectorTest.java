package org.passhaven.core.lease;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class ClockJumpDetectorTest {
  private final ClockJumpDetector detector = new ClockJumpDetector();

  @Test
  void aSuspensionIsReportedOnce() {
    assertThat(detector.check(1_000, 900_000), is(0L));
    assertThat(detector.check(1_010, 905_010), is(5_000L));
    assertThat(detector.check(1_020, 905_020), is(0L));
  }

  @Test
  void settingTheTimeOfDayIsAJumpInBothDirections() {
    detector.check(1_000, 900_000);
    assertThat(detector.check(1_010, 902_010), is(2_000L));
    assertThat(detector.check(1_020, 900_020), is(-2_000L));
  }

  @Test
  void pausesCountedByBothClocksAndSlewingAreNoJumps() {
    detector.check(1_000, 900_000);
    assertThat(detector.check(11_000, 910_000), is(0L));
    for (int i = 1; i < 100; i++) {
      assertThat(detector.check(11_000 + 100L * i, 910_000 + 101L * i), is(0L));
    }
    assertThat(detector.check(21_000, 920_100 + ClockJumpDetector.MIN_JUMP_MILLIS - 1 - 1), is(0L));
  }
}
