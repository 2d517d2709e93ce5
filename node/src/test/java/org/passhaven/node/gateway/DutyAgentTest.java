package org.passhaven.node.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.passhaven.node.ClockJumpDetectingTimers;
import org.passhaven.node.ManualTimers;
import org.passhaven.node.MemoryLog;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.duty.DutyRecord;
import org.passhaven.spi.DutyService;

/** Guards the release of the lease at a planned stop. */
class DutyAgentTest {
  private static final String STREAM = "orders.0";
  private static final long HANDOVER_MILLIS = 3_000;
  private final ManualTimers timers = new ManualTimers();
  private final MemoryLog log = new MemoryLog(timers);
  private final GatewayContext context =
      new GatewayContext(
          GatewayFixture.settings(1, 262_144, 2_097_152),
          1,
          new ClockJumpDetectingTimers(timers),
          bound -> 0,
          log,
          new GatewayFixture.SilentTables(),
          new GatewayFixture.SilentServers(),
          DutyService.NONE,
          new GatewayFixture.EmptyDocuments(),
          new GatewayMetrics(new SimpleMeterRegistry()));
  private final MembershipAgent members =
      new MembershipAgent(context, () -> 0, () -> false, () -> 250);
  private final DutyAgent agent = new DutyAgent(context, members, new JobLog(context));

  @BeforeEach
  void takeTheLease() {
    agent.add(
        new Duty() {
          @Override
          public boolean isNeeded(long nowMillis) {
            return true;
          }

          @Override
          public void act(long nowMillis) {}

          @Override
          public void onHolderChanged(boolean isHolder) {}

          @Override
          public void onRecord(DutyRecord record) {}
        });
    members.start(() -> {}, () -> {});
    agent.start(new DecisionTick(context));
    timers.advance(5_000);
    assertThat(agent.mayAct(), equalTo(true));
  }

  private long releases() {
    return log.stream(STREAM).stream()
        .filter(bytes -> Codec.decode(bytes, DutyRecord.class) instanceof DutyRecord.Released)
        .count();
  }

  @Test
  void aStopWithoutCallsInFlightReleasesAtOnce() {
    agent.stop();
    timers.advance(100);
    assertThat(releases(), equalTo(1L));
  }

  @Test
  void aStopSoonAfterAnUnansweredCallReleasesOnceTheCallCannotArriveAnyMore() {
    agent.onCallSent();
    agent.onCallUnanswered();
    agent.stop();
    timers.advance(HANDOVER_MILLIS - 100);
    assertThat(releases(), equalTo(0L));
    timers.advance(200);
    assertThat(releases(), equalTo(1L));
  }

  @Test
  void callsThatEndUnansweredDuringAStopDelayTheReleaseAndItIsWrittenOnce() {
    agent.onCallSent();
    agent.onCallSent();
    agent.stop();
    agent.onCallUnanswered();
    timers.advance(1_000);
    agent.onCallUnanswered();
    timers.advance(HANDOVER_MILLIS - 100);
    assertThat(releases(), equalTo(0L));
    timers.advance(10_000);
    assertThat(releases(), equalTo(1L));
  }
}
