package org.passhaven.node.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.passhaven.node.ClockJumpDetectingTimers;
import org.passhaven.node.ManualTimers;
import org.passhaven.node.MemoryLog;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.member.MemberBeat;
import org.passhaven.protocol.member.ServerUse;
import org.passhaven.spi.DutyService;

/**
 * Guards against wrong liveness decisions after restarts, clock jumps and outages of the log, and
 * against heartbeats at the wrong period.
 */
class MembershipAgentTest {
  private static final String STREAM = "members.0";
  private static final long STARTUP_MILLIS = 6_000;
  private final ManualTimers timers = new ManualTimers();
  private final MemoryLog log = new MemoryLog(timers);
  private boolean isDependedOn;
  private final MembershipAgent agent =
      new MembershipAgent(
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
              new GatewayMetrics(new SimpleMeterRegistry())),
          () -> 0,
          () -> isDependedOn,
          () -> 250);

  private int fleetLostCalls;

  @BeforeEach
  void writeHeartbeatsOfALostFleet() {
    for (int i = 0; i < 20; i++) {
      MemberBeat heartbeat = new MemberBeat("old" + i, "o:1", "z", 1, true, 0, 500, 0, 0);
      log.stream(STREAM).add(Codec.encode(heartbeat));
    }
    agent.start(() -> {}, () -> fleetLostCalls++);
  }

  private void passStartup() {
    timers.advance(STARTUP_MILLIS);
  }

  @Test
  void aLostFleetDoesNotDelayANewNode() {
    timers.advance(400);
    assertThat(fleetLostCalls, equalTo(0));
    assertThat(agent.isMembershipKnown(), is(false));
    timers.advance(300);
    assertThat(fleetLostCalls, equalTo(1));
    assertThat(agent.isMembershipKnown(), is(true));
    assertThat(agent.heartbeats().isAccepting("old3"), is(false));
    passStartup();
    assertThat(fleetLostCalls, equalTo(1));
  }

  @Test
  void theFleetIsNotLostWhileThisNodesOwnHeartbeatIsDelayed() {
    timers.advance(10);
    log.appendBehavior = MemoryLog.Behavior.NEVER_RESPONDS;
    timers.advance(590);
    MemberBeat heartbeat = new MemberBeat("old1", "o:1", "z", 1, true, 0, 500, 0, 0);
    log.stream(STREAM).add(Codec.encode(heartbeat));
    timers.advance(400);
    assertThat(fleetLostCalls, equalTo(0));
  }

  @Test
  void aFleetThatKeepsSendingHeartbeatsIsNotLost() {
    timers.advance(400);
    for (int i = 0; i < 20; i++) {
      MemberBeat heartbeat = new MemberBeat("old" + i, "o:1", "z", 1, true, 0, 500, 0, 0);
      log.stream(STREAM).add(Codec.encode(heartbeat));
    }
    timers.advance(1_000);
    assertThat(fleetLostCalls, equalTo(0));
    assertThat(agent.heartbeats().isAccepting("old3"), is(true));
  }

  @Test
  void livenessIsKnownOnceTheNextOwnHeartbeatIsReadBack() {
    timers.advance(400);
    assertThat(agent.isLivenessUnknown(), is(true));
    for (int i = 0; i < 20; i++) {
      MemberBeat heartbeat = new MemberBeat("old" + i, "o:1", "z", 1, true, 0, 500, 0, 0);
      log.stream(STREAM).add(Codec.encode(heartbeat));
    }
    timers.advance(300);
    assertThat(agent.isLivenessUnknown(), is(false));
    assertThat(agent.heartbeats().isAccepting("old3"), is(true));
  }

  @Test
  void livenessIsNoLongerUnknownAfterATimeoutIfTheLogStopsAnswering() {
    timers.advance(10);
    log.appendBehavior = MemoryLog.Behavior.NEVER_RESPONDS;
    timers.advance(1_080);
    assertThat(agent.isLivenessUnknown(), is(true));
    timers.advance(20);
    assertThat(agent.isLivenessUnknown(), is(false));
  }

  private int heartbeatsWithin(long millis) {
    int before = log.stream(STREAM).size();
    timers.advance(millis);
    return log.stream(STREAM).size() - before;
  }

  private MemberBeat newestHeartbeat() {
    List<byte[]> records = log.stream(STREAM);
    return Codec.decode(records.get(records.size() - 1), MemberBeat.class);
  }

  @Test
  void anIdleNodeSendsAHeartbeatEverySecond() {
    passStartup();
    assertThat(heartbeatsWithin(10_000), equalTo(10));
    assertThat(newestHeartbeat().periodMillis(), equalTo(1_000L));
    assertThat(agent.isLogReachable(), is(true));
    assertThat(agent.heartbeats().isAccepting("n"), is(true));
  }

  @Test
  void aNodeInUseSendsHeartbeatsAtTheConfiguredPeriod() {
    passStartup();
    isDependedOn = true;
    assertThat(heartbeatsWithin(10_000), equalTo(20));
    assertThat(newestHeartbeat().periodMillis(), equalTo(500L));
  }

  @Test
  void aNodeThatComesIntoUseAnnouncesTheShorterPeriodAtOnce() {
    passStartup();
    heartbeatsWithin(10_000);
    isDependedOn = true;
    agent.shortenIntervals();
    assertThat(newestHeartbeat().periodMillis(), equalTo(500L));
    int recordsBefore = log.stream(STREAM).size();
    agent.shortenIntervals();
    assertThat(log.stream(STREAM).size(), equalTo(recordsBefore));
  }

  @Test
  void aLeavingNodeAnnouncesItAtOnce() {
    passStartup();
    agent.announceDraining();
    assertThat(newestHeartbeat().taking(), is(false));
  }

  @Test
  void noHeartbeatIsSentWhileOneIsInFlight() {
    passStartup();
    log.appendBehavior = MemoryLog.Behavior.NEVER_RESPONDS;
    isDependedOn = true;
    int before = log.appendCalls;
    timers.advance(900);
    assertThat(log.appendCalls - before, lessThanOrEqualTo(1));
  }

  @Test
  void afterASuspensionTheLogIsReachableOnceALaterHeartbeatIsReadBack() {
    passStartup();
    assertThat(agent.isLogReachable(), is(true));
    timers.suspend(5_000);
    assertThat(agent.isLogReachable(), is(false));
    // It sends a heartbeat at its next tick, whatever its period, and reads immediately.
    timers.advance(600);
    assertThat(agent.isLogReachable(), is(true));
  }

  @Test
  void afterASuspensionTheLogIsNotReachableWhileAppendsHang() {
    passStartup();
    log.appendBehavior = MemoryLog.Behavior.NEVER_RESPONDS;
    timers.suspend(5_000);
    timers.advance(1_000);
    assertThat(agent.isLogReachable(), is(false));
  }

  @Test
  void aReadThatHangsAfterASuspensionIsReplaced() {
    passStartup();
    log.hangReads = true;
    timers.advance(1_000);
    log.hangReads = false;
    timers.suspend(5_000);
    timers.advance(1_100);
    assertThat(agent.isLogReachable(), is(true));
  }

  private List<ServerUse> lastOwnUse() {
    List<byte[]> records = log.stream(STREAM);
    return Codec.decode(records.get(records.size() - 1), MemberBeat.class).serverUse();
  }

  @Test
  void heartbeatsCarryServerUseOnlyWhileThereIsSome() {
    List<ServerUse> own = new ArrayList<>();
    agent.shareServerUse(() -> own, heartbeat -> {});
    own.add(new ServerUse("s", 0, 3, 45));
    timers.advance(600);
    assertThat(lastOwnUse(), equalTo(own));
    own.clear();
    timers.advance(600);
    assertThat(lastOwnUse(), empty());
  }

  @Test
  void newServerUseOfOtherNodesIsPassedOnAndOldIsNot() {
    List<MemberBeat> received = new ArrayList<>();
    agent.shareServerUse(List::of, received::add);
    timers.advance(600);
    assertThat(received, empty());
    MemberBeat heartbeat =
        new MemberBeat(
            "other", "o:1", "z", 1, true, 0, 500, 0, 0, List.of(new ServerUse("s", 0, 3, 45)));
    log.stream(STREAM).add(Codec.encode(heartbeat));
    timers.advance(600);
    assertThat(received, contains(heartbeat));
  }
}
