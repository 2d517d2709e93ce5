package org.passhaven.simulator;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.passhaven.simulator.gateway.GatewayFault;
import org.passhaven.simulator.gateway.GatewayWorld;
import org.passhaven.simulator.gateway.GatewayWorld.Report;

class GatewayWorldTest {
  private static final long LENGTH_MILLIS = 60_000;
  private static final int SEEDS = 40;
  private static final int FAULTS = 6;

  /**
   * All reads together get 300 KB a second: a day's history of some 0.5 MB at six nodes takes 10 s.
   */
  private static final long NARROW_BYTES_PER_MILLI = 300;

  private static Report play(long seed, List<GatewayFault> faults) {
    return new GatewayWorld(seed).play(faults, LENGTH_MILLIS);
  }

  @Test
  void aCalmSiteServesEveryStepWhole() {
    Report report = play(1, List.of());
    assertThat(report.violations(), empty());
    assertThat(report.toString(), report.steps(), greaterThan(20));
    assertThat(report.wholeSteps(), equalTo(report.steps()));
    assertThat(report.orders(), greaterThan(60));
  }

  @Test
  void theSameSeedGivesTheSameReport() {
    List<GatewayFault> faults = GatewayFault.draw(5, FAULTS, 30_000);
    assertThat(play(5, faults), equalTo(play(5, faults)));
  }

  @ParameterizedTest
  @EnumSource(GatewayFault.Kind.class)
  void eachFaultTwiceBreaksNothingAndStepsGoOn(GatewayFault.Kind kind) {
    for (int target = 0; target < 6; target++) {
      List<GatewayFault> faults =
          List.of(
              new GatewayFault(kind, 8_000, 4_000, target),
              new GatewayFault(kind, 16_000, 5_000, target + 1));
      Report report = play(target + 1, faults);
      assertThat(kind + " " + target, report.violations(), empty());
      assertThat(kind + " " + target + " " + report, report.wholeSteps(), greaterThanOrEqualTo(8));
    }
  }

  @Test
  void afterTheLossOfAllNodesEveryJobCanBeReadAtEveryNodeThoughTheStoreIsNarrow() {
    GatewayWorld world = new GatewayWorld(3);
    world.setReadBandwidth(NARROW_BYTES_PER_MILLI);
    Report report =
        world.play(
            List.of(new GatewayFault(GatewayFault.Kind.ALL_NODES_KILLED, 50_000, 1_000, 0)),
            LENGTH_MILLIS);
    assertThat(report.toString(), report.violations(), empty());
    assertThat(report.toString(), report.wholeSteps(), greaterThan(10));
  }

  @Test
  void drawnFaultsBreakNothing() {
    int handOvers = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      Report report = play(seed, GatewayFault.draw(seed, FAULTS, 30_000));
      assertThat("seed " + seed, report.violations(), empty());
      assertThat("seed " + seed + " " + report, report.wholeSteps(), greaterThan(4));
      handOvers += report.handOvers();
    }
    assertThat(handOvers, greaterThan(10));
  }

  @Test
  void drawnCrashesAndSuspensionsBesideOtherFaultsBreakNothing() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      List<GatewayFault> faults = new ArrayList<>(GatewayFault.draw(seed, FAULTS / 2, 30_000));
      faults.addAll(GatewayFault.drawCrashesAndSuspensions(seed, FAULTS / 2, 30_000));
      assertThat("seed " + seed, play(seed, faults).violations(), empty());
    }
  }
}
