package org.passhaven.simulator;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.passhaven.simulator.gateway.GatewayFault;
import org.passhaven.simulator.gateway.GatewayFault.Kind;
import org.passhaven.simulator.gateway.GatewayWorld;
import org.passhaven.simulator.gateway.GatewayWorld.Report;

/** Servers that end start again under the id that they had, with nothing that they knew before. */
class RestartInPlaceTest {
  private static final long LENGTH_MILLIS = 60_000;
  private static final int PATHS = 40;
  private static final long LOOKUPS_EVERY_MILLIS = 100;
  private static final int SEEDS = 12;

  private static Report play(long seed, List<GatewayFault> faults) {
    GatewayWorld world = new GatewayWorld(seed);
    world.restartServersInPlace();
    world.addLookups(PATHS, LOOKUPS_EVERY_MILLIS);
    return world.play(faults, LENGTH_MILLIS);
  }

  private static GatewayFault fault(Kind kind, long atMillis, long forMillis, int target) {
    return new GatewayFault(kind, atMillis, forMillis, target);
  }

  private static void assertKept(String what, Report report) {
    assertThat(what + " " + report, report.violations(), empty());
    assertThat(what + " " + report, report.wholeSteps(), greaterThan(8));
  }

  @Test
  void itemsThatRanThereGoOnAndWeightsComeAgain() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      List<GatewayFault> faults = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        Kind kind = i % 2 == 0 ? Kind.SERVER_CRASHES : Kind.SERVER_DARK;
        faults.add(fault(kind, 8_000 + 4_000L * i, 300 + 400L * i, i));
      }
      assertKept("seed " + seed, play(seed, faults));
    }
  }

  @Test
  void ordersOnTheirWayToTheStartBeforeAreNotTakenForTheNextOnes() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      List<GatewayFault> faults = new ArrayList<>();
      faults.add(fault(Kind.ORDERS_LATE, 6_000, 30_000, 0));
      for (int i = 0; i < 6; i++) {
        faults.add(fault(Kind.SERVER_CRASHES, 9_000 + 3_000L * i, 400, i));
      }
      assertKept("seed " + seed, play(seed, faults));
    }
  }

  @Test
  void aRestartWhileTheStoreIsAwayIsKnownWhenItIsBack() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      List<GatewayFault> faults = new ArrayList<>();
      faults.add(fault(Kind.STORE_SILENT, 12_000, 5_000, 0));
      for (int i = 0; i < 4; i++) {
        faults.add(fault(Kind.SERVER_CRASHES, 12_500 + 500L * i, 800, i));
      }
      assertKept("seed " + seed, play(seed, faults));
    }
  }

  @Test
  void requestsThatCrashServersAreKeptFromThemThoughTheServersKeepTheirIds() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Report report =
          play(
              seed,
              List.of(
                  fault(Kind.LOOKUP_CRASHES_SERVERS, 8_000, 0, 1),
                  fault(Kind.SERVERS_CRASH_UNDER_ITEM, 20_000, 0, 1)));
      assertThat("seed " + seed + " " + report, report.violations(), empty());
      assertThat("seed " + seed + " " + report, report.serversCrashed(), greaterThan(0));
      assertThat(
          "seed " + seed + " " + report,
          report.lookupsServed() / (double) report.lookupsSent(),
          greaterThanOrEqualTo(0.99));
    }
  }

  @Test
  void drawnFaultsBreakNothing() {
    for (long seed = 1; seed <= 3 * SEEDS; seed++) {
      List<GatewayFault> faults = new ArrayList<>(GatewayFault.draw(seed, 4, 30_000));
      faults.addAll(GatewayFault.drawCrashesAndSuspensions(seed, 2, 30_000));
      faults.add(fault(Kind.SERVER_CRASHES, 7_000, 600, (int) seed));
      Report report = play(seed, faults);
      assertThat("seed " + seed + " " + report, report.violations(), empty());
    }
  }
}
