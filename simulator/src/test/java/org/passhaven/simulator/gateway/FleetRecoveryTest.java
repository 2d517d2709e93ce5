package org.passhaven.simulator.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
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
    return firstGenerationAfter(KILLED_AT_MILLIS, world) - KILLED_AT_MILLIS - RESTART_MILLIS;
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

  private static final int UNEVEN_NODES = 80;
  private static final int QUICK_NODES = 19;
  private static final int SLOWER_BY_MILLIS = 1_200;
  private static final int QUICK_SPREAD_MILLIS = 150;

  /** Restart of the last fast node, one beat period of the first one, and the time to read it. */
  private static final long KNOWN_AFTER_MILLIS = RESTART_MILLIS + QUICK_SPREAD_MILLIS + 850;

  private static final long LOOK_MILLIS = 100;

  /** Most machines restart more slowly than the others. */
  private static GatewayWorld unevenWorld(long seed) {
    GatewayWorld world = new GatewayWorld(seed, UNEVEN_NODES);
    world.setRestartSpread(QUICK_SPREAD_MILLIS);
    world.losses().setSlowMachines(QUICK_NODES, SLOWER_BY_MILLIS);
    return world;
  }

  /** One missed beat, one read of the jobs, and one claim. */
  private static final long OPEN_JOB_LIMIT_MILLIS = 800;

  /**
   * Less than the time to write and read a claim: shows that the run was claimed before the job
   * came.
   */
  private static final long NEW_JOB_LIMIT_MILLIS = 8;

  private static final long READ_BYTES_PER_MILLI = 5_000;
  private static final GatewayFault STORE_AWAY =
      new GatewayFault(Kind.STORE_REFUSES, 4_000, 3_000, 0);

  private static boolean isSlow(String address) {
    return Integer.parseInt(address.substring(1, address.indexOf(':'))) >= QUICK_NODES;
  }

  @Test
  void callersAreToldOfNoNodeThatIsNotBackYet() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      GatewayWorld world = unevenWorld(seed);
      long lostAtMillis = KILLED_AT_MILLIS + seed * 100;
      for (long after = RESTART_MILLIS; after <= KNOWN_AFTER_MILLIS; after += LOOK_MILLIS) {
        world.losses().lookAtAddresses(lostAtMillis + after);
      }
      GatewayFault loss = new GatewayFault(Kind.ALL_NODES_KILLED, lostAtMillis, 1, 0);
      Report report = world.play(List.of(STORE_AWAY, loss), 24_000);
      assertThat(report.violations(), empty());
      assertThat(world.losses().addressesNamed(), hasSize(greaterThan(QUICK_NODES)));
      List<String> gone =
          world.losses().addressesNamed().stream().filter(FleetRecoveryTest::isSlow).toList();
      assertThat(gone, empty());
    }
  }

  private static long openJobPauseMillis(long seed) {
    GatewayWorld world = unevenWorld(seed);
    world.losses().loseAllWithAnOpenJob(KILLED_AT_MILLIS, 40 * seed);
    Report report = world.play(List.of(STORE_AWAY), 24_000);
    assertThat(report.violations(), empty());
    long lostAtMillis = world.losses().lostAtMillis();
    return firstGenerationAfter(lostAtMillis, world) - lostAtMillis - RESTART_MILLIS;
  }

  @Test
  void anOpenJobWaitsForNoSlowMachine() {
    List<Long> pauses =
        LongStream.rangeClosed(1, 10).mapToObj(FleetRecoveryTest::openJobPauseMillis).toList();
    assertThat(pauses, everyItem(lessThan(OPEN_JOB_LIMIT_MILLIS)));
  }

  /** Time from the acceptance of the first job after the loss to its first generation. */
  private static long newJobPauseMillis(long seed) {
    GatewayWorld world = unevenWorld(seed);
    world.losses().loseAllBetweenSteps(KILLED_AT_MILLIS, 30 * seed, 1_500);
    world.setReadBandwidth(READ_BYTES_PER_MILLI);
    Report report = world.play(List.of(STORE_AWAY), 24_000);
    assertThat(report.violations(), empty());
    long acceptedAtMillis = world.losses().nextAcceptedAtMillis();
    return firstGenerationAfter(acceptedAtMillis, world) - acceptedAtMillis;
  }

  private static long firstGenerationAfter(long millis, GatewayWorld world) {
    return world.generationsBegunAtMillis().stream()
        .filter(atMillis -> atMillis > millis)
        .mapToLong(Long::longValue)
        .min()
        .orElseThrow();
  }

  @Test
  void aJobThatIsHandedInAfterTheLossWaitsForNoRunner() {
    List<Long> pauses =
        LongStream.rangeClosed(1, 10).mapToObj(FleetRecoveryTest::newJobPauseMillis).toList();
    assertThat(pauses, everyItem(lessThan(NEW_JOB_LIMIT_MILLIS)));
  }
}
