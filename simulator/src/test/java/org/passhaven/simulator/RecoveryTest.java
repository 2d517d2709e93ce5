package org.passhaven.simulator;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.passhaven.simulator.experiment.Simulation;
import org.passhaven.simulator.fault.Scenario;
import org.passhaven.simulator.time.VirtualTime;
import org.passhaven.simulator.world.NodeHost;
import org.passhaven.simulator.world.World;

/**
 * How long it takes until samples are delivered again, in virtual time; docs/MEASUREMENTS.md has
 * the figures.
 */
class RecoveryTest {
  private static final long KILL_MILLIS = 12_000;
  private static final long LIMIT_MILLIS = 3_600_000;
  private final World world;

  RecoveryTest() throws Exception {
    Scenario scenario = new Scenario("recovery", "necpa", 40, List.of(), 0, 0);
    world = new Simulation(scenario, 1, "default", UnaryOperator.identity()).world();
    world.start();
    runTo(KILL_MILLIS);
  }

  private void runTo(long millis) {
    while (world.time().runNext(millis * VirtualTime.MICROS_PER_MILLI)) {
      // Each event may set up further ones.
    }
  }

  /** Runs on until a condition holds; gives the milliseconds that it took. */
  private long millisUntil(BooleanSupplier condition) {
    long from = world.time().nowMillis();
    while (!condition.getAsBoolean()
        && world.time().runNext(LIMIT_MILLIS * VirtualTime.MICROS_PER_MILLI)) {
      // Until then.
    }
    return world.time().nowMillis() - from;
  }

  private NodeHost owner() {
    return world.nodes().stream()
        .filter(host -> host.node() != null && !host.node().status().ownedShards().isEmpty())
        .findFirst()
        .orElseThrow();
  }

  private boolean isOwned() {
    return world.nodes().stream()
        .anyMatch(host -> host.node() != null && !host.node().status().ownedShards().isEmpty());
  }

  private long millisUntilDelivery() {
    long before = world.checker().delivered();
    return millisUntil(() -> world.checker().delivered() > before);
  }

  private static void report(String what, long millis) {
    System.out.println("recovery: " + what + ": " + millis + " ms");
  }

  @Test
  void shardOfADeadOwnerIsTakenOver() {
    owner().kill();
    long owned = millisUntil(this::isOwned);
    report("owner killed, shard owned again", owned);
    assertThat(owned, lessThan(9_000L));
    report("and first delivery after that", millisUntilDelivery());
    assertThat(world.checker().findings().samplesDuplicated(), equalTo(0L));
  }

  @Test
  void shardOfAStoppedOwnerIsTakenOverAtOnce() {
    owner().stop(20_000, cut -> {});
    runTo(KILL_MILLIS + 100);
    long owned = millisUntil(this::isOwned) + 100;
    report("planned stop of the owner, shard owned again", owned);
    assertThat(owned, lessThan(2_000L));
  }

  @Test
  void allNodesAtOnceComeBack() {
    world.nodes().forEach(NodeHost::kill);
    world.nodes().forEach(NodeHost::start);
    long owned = millisUntil(this::isOwned);
    report("all nodes killed and started, shard owned again", owned);
    assertThat(owned, lessThan(9_000L));
    assertThat("delivers", millisUntilDelivery(), greaterThan(0L));
  }

  @Test
  void lostZoneIsTakenOver() {
    String zone = owner().process().zone();
    world.nodes().stream()
        .filter(host -> host.process().zone().equals(zone))
        .forEach(NodeHost::kill);
    world.engines().stream()
        .filter(engine -> engine.process().zone().equals(zone))
        .forEach(engine -> engine.crash(engine.model().version()));
    long owned = millisUntil(this::isOwned);
    report("the owner's zone lost, shard owned again", owned);
    assertThat(owned, lessThan(9_000L));
    report("and first delivery after that", millisUntilDelivery());
  }

  @Test
  void deliveryGoesOnAfterTenMinutesWithoutTheLog() {
    NodeHost before = owner();
    world.log().setDown(true);
    runTo(KILL_MILLIS + 600_000);
    world.log().setDown(false);
    long millis = millisUntilDelivery();
    report("log back after 10 minutes, first delivery", millis);
    assertThat(millis, lessThan(4_000L));
    assertThat("what was generated meanwhile is kept", owner(), equalTo(before));
    assertThat(world.checker().findings().samplesOverBound(), equalTo(0L));
  }
}
