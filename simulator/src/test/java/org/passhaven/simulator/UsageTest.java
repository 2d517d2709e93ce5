package org.passhaven.simulator;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.passhaven.simulator.gateway.GatewayFault;
import org.passhaven.simulator.gateway.GatewayFault.Kind;
import org.passhaven.simulator.gateway.GatewayWorld;
import org.passhaven.simulator.gateway.GatewayWorld.Report;

/** Usage is reported by one holder, once in one way for each window, in time and true. */
class UsageTest {
  private static final long LENGTH_MILLIS = 60_000;
  private static final int PATHS = 40;
  private static final long LOOKUPS_EVERY_MILLIS = 50;
  private static final int NODES = 6;
  private static final int SEEDS = 12;

  private static GatewayWorld world(long seed) {
    GatewayWorld world = new GatewayWorld(seed, NODES, true);
    world.addLookups(PATHS, LOOKUPS_EVERY_MILLIS);
    return world;
  }

  private static GatewayFault fault(Kind kind, long atMillis, long forMillis, int target) {
    return new GatewayFault(kind, atMillis, forMillis, target);
  }

  @Test
  void onCalmDaysEachWindowIsReportedTrueAndInTime() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Report report = world(seed).play(List.of(), LENGTH_MILLIS);
      assertThat("seed " + seed + " " + report, report.violations(), empty());
      assertThat("seed " + seed + " " + report, report.windowsOff(), equalTo(0));
      assertThat("seed " + seed + " " + report, report.windowsInTime(), greaterThanOrEqualTo(11));
    }
  }

  @Test
  void whatWasMissedWhileThePlatformWasAwayIsReportedTheSameWay() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      GatewayWorld world = world(seed);
      world.loseDuties(14_000, 9_000);
      Report report =
          world.play(List.of(fault(Kind.LAST_WRITER_KILLED, 19_000, 0, (int) seed)), LENGTH_MILLIS);
      assertThat("seed " + seed + " " + report, report.violations(), empty());
      assertThat("seed " + seed + " " + report, report.windowsOff(), lessThanOrEqualTo(1));
      assertThat("seed " + seed + " " + report, report.windowsInTime(), greaterThanOrEqualTo(8));
    }
  }

  @Test
  void aNodeThatDiesLosesHardlyAnyCounts() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      List<GatewayFault> faults = new ArrayList<>();
      for (int i = 0; i < NODES; i++) {
        faults.add(fault(Kind.NODE_KILLED, 10_000 + 5_000L * i, 0, i));
      }
      Report report = world(seed).play(faults, LENGTH_MILLIS);
      assertThat("seed " + seed + " " + report, report.violations(), empty());
      assertThat("seed " + seed + " " + report, report.windowsOff(), lessThanOrEqualTo(2));
      assertThat("seed " + seed + " " + report, report.windowsInTime(), greaterThanOrEqualTo(9));
    }
  }

  @Test
  void aClockThatIsSetWrongForSecondsMovesNoWindow() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      List<GatewayFault> faults = new ArrayList<>();
      for (int i = 0; i < NODES; i++) {
        faults.add(fault(Kind.CLOCK_SET, 20_000 + 4_000L * i, 5_000, i));
      }
      Report report = world(seed).play(faults, LENGTH_MILLIS);
      assertThat("seed " + seed + " " + report, report.violations(), empty());
      assertThat("seed " + seed + " " + report, report.windowsOff(), lessThanOrEqualTo(1));
    }
  }

  @Test
  void drawnFaultsNeverMakeTwoHoldersOrTwoReports() {
    for (long seed = 1; seed <= 4 * SEEDS; seed++) {
      GatewayWorld world = world(seed);
      world.loseDuties(9_000 + 500 * seed, 6_000);
      List<GatewayFault> faults = new ArrayList<>(GatewayFault.draw(seed, 4, 30_000));
      faults.addAll(GatewayFault.drawCrashesAndSuspensions(seed, 2, 30_000));
      Report report = world.play(faults, LENGTH_MILLIS);
      assertThat("seed " + seed + " " + report, report.violations(), empty());
    }
  }
}
