package org.passhaven.simulator.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.passhaven.simulator.gateway.GatewayFault.Kind;
import org.passhaven.simulator.gateway.GatewayWorld.Report;

/** How soon a large fleet generates again after all of its nodes were lost at once. */
class FleetRecoveryTest {
  private static final int NODES = 96;
  private static final int SEEDS = 5;
  private static final int SPREAD_MILLIS = 2_500;
  private static final long KILLED_AT_MILLIS = 14_000;
  private static final long RESTART_MILLIS = 900;

  private static long pauseMillis(long seed, int nodes) {
    GatewayWorld world = new GatewayWorld(seed, nodes);
    world.setRestartSpread(SPREAD_MILLIS);
    Report report =
        world.play(
            List.of(new GatewayFault(Kind.ALL_NODES_KILLED, KILLED_AT_MILLIS, 1, 0)), 24_000);
    assertThat(report.violations(), empty());
    return world.generationsBegunAtMillis().stream()
            .filter(atMillis -> atMillis > KILLED_AT_MILLIS)
            .mapToLong(Long::longValue)
            .min()
            .orElseThrow()
        - KILLED_AT_MILLIS
        - RESTART_MILLIS;
  }

  /** Four rounds of reads, beats and claims; each node that waits in vain for one adds to it. */
  private static final double MEAN_LIMIT_MILLIS = 1_300;

  private static void checkMeanPause(int nodes) {
    List<Long> pauses =
        LongStream.rangeClosed(1, SEEDS).mapToObj(seed -> pauseMillis(seed, nodes)).toList();
    double mean = pauses.stream().mapToLong(Long::longValue).average().orElseThrow();
    assertThat(pauses.toString(), mean, lessThan(MEAN_LIMIT_MILLIS));
  }

  @Test
  void aSmallFleetGeneratesSoonAfterItsFirstNodesAreBack() {
    checkMeanPause(13);
  }

  @Test
  void aLargeFleetDoesNotWaitForThoseWhoAreNotBackYet() {
    checkMeanPause(NODES);
  }
}
