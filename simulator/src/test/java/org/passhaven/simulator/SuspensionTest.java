package org.passhaven.simulator;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.passhaven.simulator.gateway.GatewayFault;
import org.passhaven.simulator.gateway.GatewayFault.Kind;
import org.passhaven.simulator.gateway.GatewayWorld;
import org.passhaven.simulator.gateway.GatewayWorld.Report;

/**
 * A machine is suspended for seconds, and its steady clock does not count them: it wakes with a
 * lease, a view of the store and callers' deadlines that look as fresh as before.
 */
class SuspensionTest {
  private static final long LENGTH_MILLIS = 60_000;
  private static final int SEEDS = 30;
  private static final int NODES = 6;

  @Test
  void whoeverWakesFromASuspensionActsOnNothingThatHasLapsed() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      List<GatewayFault> faults = new ArrayList<>();
      // All nodes in turn, so that the one that orders and those that run jobs are among them.
      for (int node = 0; node < NODES; node++) {
        long atMillis = 6_000 + 4_500L * node + 37 * seed;
        faults.add(new GatewayFault(Kind.NODE_SUSPENDED, atMillis, 8_500, node));
      }
      Report report = new GatewayWorld(seed).play(faults, LENGTH_MILLIS);
      assertThat("seed " + seed + " " + report, report.violations(), empty());
      assertThat("seed " + seed + " " + report, report.wholeSteps(), greaterThan(4));
    }
  }

  /** A clock that is set makes holders doubt, and that is all: no step is lost by it. */
  @Test
  void clocksThatAreSetBreakNothingAndCostNoStep() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      List<GatewayFault> faults = new ArrayList<>();
      for (int i = 0; i < 4 * NODES; i++) {
        faults.add(new GatewayFault(Kind.CLOCK_SET, 6_000 + 1_700L * i + 37 * seed, 1_100, i));
      }
      Report report = new GatewayWorld(seed).play(faults, LENGTH_MILLIS);
      assertThat("seed " + seed + " " + report, report.violations(), empty());
      assertThat("seed " + seed + " " + report, report.wholeSteps(), equalTo(report.steps()));
    }
  }
}
