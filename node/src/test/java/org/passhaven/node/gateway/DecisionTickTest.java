package org.passhaven.node.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.junit.jupiter.api.Test;
import org.passhaven.node.ManualTimers;
import org.passhaven.node.MemoryLog;
import org.passhaven.spi.DutyService;

class DecisionTickTest {
  private final ManualTimers timers = new ManualTimers();
  private final DecisionTick tick =
      new DecisionTick(
          new GatewayContext(
              GatewayFixture.settings(1, 262_144, 2_097_152),
              1,
              timers,
              bound -> 0,
              new MemoryLog(timers),
              new GatewayFixture.SilentTables(),
              new GatewayFixture.SilentServers(),
              DutyService.NONE,
              new GatewayFixture.EmptyDocuments(),
              new GatewayMetrics(new SimpleMeterRegistry())));
  private int runs;

  @Test
  void allDecisionsRunOnOneTimer() {
    tick.add(() -> runs++);
    tick.add(() -> runs++);
    assertThat(timers.pendingTaskCount(), equalTo(1));
    timers.advance(1_000);
    assertThat(runs, equalTo(20));
  }

  @Test
  void aDecisionThatFailsStopsNeitherTheOthersNorLaterTicks() {
    tick.add(
        () -> {
          runs++;
          throw new IllegalStateException("a decision that fails");
        });
    tick.add(() -> runs++);
    timers.advance(1_000);
    assertThat(runs, equalTo(20));
  }
}
