package org.passhaven.simulator;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.passhaven.simulator.gateway.GatewayFault;
import org.passhaven.simulator.gateway.GatewayWorld;

/**
 * Nodes that were in touch again after an outage of the store went by an older configuration: what
 * they had asked the store while it was silent was still waited for.
 */
class ConfigurationInTimeTest {
  private static final long LENGTH_MILLIS = 40_000;
  private static final long CHANGE_MILLIS = 700;
  private static final long STEP_MILLIS = 200;
  private static final int SEEDS = 40;
  private static final int FAULTS = 6;

  private static void assertInTime(String what, long seed, List<GatewayFault> faults) {
    GatewayWorld world = new GatewayWorld(seed);
    world.changeConfiguration(CHANGE_MILLIS);
    assertThat(what, world.play(faults, LENGTH_MILLIS).violations(), empty());
    assertThat(what, world.configurationChecks(), greaterThan(200));
  }

  @ParameterizedTest
  @EnumSource(
      value = GatewayFault.Kind.class,
      names = {
        "NODE_CUT_FROM_STORE",
        "NODE_SUSPENDED",
        "STORE_SILENT",
        "STORE_REFUSES",
        "STORE_LOSES_ANSWERS",
        "STORE_FORGETS",
        "STORE_REFUSES_SOME_NODES"
      })
  void afterAnOutageOfAnyLength(GatewayFault.Kind kind) {
    for (long outage = 500; outage < 6_000; outage += STEP_MILLIS) {
      List<GatewayFault> faults =
          List.of(
              new GatewayFault(kind, 8_000, outage, 0),
              new GatewayFault(kind, 20_000, outage + STEP_MILLIS / 2, 1));
      assertInTime(kind + " for " + outage + " ms", 1, faults);
    }
  }

  @Test
  void afterDrawnFaults() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      assertInTime("seed " + seed, seed, GatewayFault.draw(seed, FAULTS, 30_000));
    }
  }
}
