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
import org.passhaven.node.ManualTimers;
import org.passhaven.node.MemoryLog;
import org.passhaven.node.WatchedTimers;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.member.MemberBeat;
import org.passhaven.protocol.member.ServerUse;
import org.passhaven.spi.DutyService;

class MemberAgentTest {
  private static final String STREAM = "members.0";
  private static final long FRESH_MILLIS = 6_000;
  private final ManualTimers timers = new ManualTimers();
  private final MemoryLog log = new MemoryLog(timers);
  private boolean isDependedOn;
  private final MemberAgent agent =
      new MemberAgent(
          new GatewayContext(
              GatewayFixture.settings(1, 262_144, 2_097_152),
              1,
              new WatchedTimers(timers),
              bound -> 0,
              log,
              new GatewayFixture.NoTables(),
              new GatewayFixture.NoServers(),
              DutyService.NONE,
              new GatewayFixture.NoDocuments(),
              new GatewayMetrics(new SimpleMeterRegistry())),
          () -> 0,
          () -> isDependedOn,
          () -> 250);

  private int timesFleetLost;

  @BeforeEach
  void fillTheLogOfAFleetThatIsGone() {
    for (int i = 0; i < 20; i++) {
      MemberBeat beat = new MemberBeat("old" + i, "o:1", "z", 1, true, 0, 500, 0, 0);
      log.stream(STREAM).add(Codec.encode(beat));
    }
    agent.start(() -> {}, () -> timesFleetLost++);
  }

  private void passTheFirstSeconds() {
    timers.advance(FRESH_MILLIS);
  }

  @Test
  void aFleetThatWasLostHoldsUpNobody() {
    timers.advance(400);
    assertThat(timesFleetLost, equalTo(0));
    assertThat(agent.isSettled(), is(false));
    timers.advance(300);
    assertThat(timesFleetLost, equalTo(1));
    assertThat(agent.isSettled(), is(true));
    assertThat(agent.beats().isTaking("old3"), is(false));
    passTheFirstSeconds();
    assertThat(timesFleetLost, equalTo(1));
  }

  @Test
  void whileThisNodesOwnNextBeatIsNotBackOthersMayBeAsSlow() {
    timers.advance(10);
    log.appends = MemoryLog.Manner.SILENT;
    timers.advance(590);
    MemberBeat beat = new MemberBeat("old1", "o:1", "z", 1, true, 0, 500, 0, 0);
    log.stream(STREAM).add(Codec.encode(beat));
    timers.advance(400);
    assertThat(timesFleetLost, equalTo(0));
  }

  @Test
  void aFleetThatGoesOnIsNotLost() {
    timers.advance(400);
    for (int i = 0; i < 20; i++) {
      MemberBeat beat = new MemberBeat("old" + i, "o:1", "z", 1, true, 0, 500, 0, 0);
      log.stream(STREAM).add(Codec.encode(beat));
    }
    timers.advance(1_000);
    assertThat(timesFleetLost, equalTo(0));
    assertThat(agent.beats().isTaking("old3"), is(true));
  }

  @Test
  void whoLivesIsKnownOnceThisNodesNextBeatIsBack() {
    timers.advance(400);
    assertThat(agent.isLivenessUnknown(), is(true));
    for (int i = 0; i < 20; i++) {
      MemberBeat beat = new MemberBeat("old" + i, "o:1", "z", 1, true, 0, 500, 0, 0);
      log.stream(STREAM).add(Codec.encode(beat));
    }
    timers.advance(300);
    assertThat(agent.isLivenessUnknown(), is(false));
    assertThat(agent.beats().isTaking("old3"), is(true));
  }

  @Test
  void aLogThatFallsSilentDoesNotKeepANodeFromNamingOthersForLong() {
    timers.advance(10);
    log.appends = MemoryLog.Manner.SILENT;
    timers.advance(1_080);
    assertThat(agent.isLivenessUnknown(), is(true));
    timers.advance(20);
    assertThat(agent.isLivenessUnknown(), is(false));
  }

  private int beatsWithin(long millis) {
    int before = log.stream(STREAM).size();
    timers.advance(millis);
    return log.stream(STREAM).size() - before;
  }

  private MemberBeat newestBeat() {
    List<byte[]> beats = log.stream(STREAM);
    return Codec.decode(beats.get(beats.size() - 1), MemberBeat.class);
  }

  @Test
  void aNodeOnWhichNobodyDependsBeatsOnceASecond() {
    passTheFirstSeconds();
    assertThat(beatsWithin(10_000), equalTo(10));
    assertThat(newestBeat().periodMillis(), equalTo(1_000L));
    assertThat(agent.isInTouch(), is(true));
    assertThat(agent.beats().isTaking("n"), is(true));
  }

  @Test
  void aNodeOnWhichSomethingDependsBeatsAtThePaceOfTheSettings() {
    passTheFirstSeconds();
    isDependedOn = true;
    assertThat(beatsWithin(10_000), equalTo(20));
    assertThat(newestBeat().periodMillis(), equalTo(500L));
  }

  @Test
  void whatComesToDependOnANodeIsToldAtOnce() {
    passTheFirstSeconds();
    beatsWithin(10_000);
    isDependedOn = true;
    agent.hurry();
    assertThat(newestBeat().periodMillis(), equalTo(500L));
    int told = log.stream(STREAM).size();
    agent.hurry();
    assertThat(log.stream(STREAM).size(), equalTo(told));
  }

  @Test
  void aNodeThatLeavesSaysSoAtOnce() {
    passTheFirstSeconds();
    agent.announceLeaving();
    assertThat(newestBeat().taking(), is(false));
  }

  @Test
  void aBeatIsNotRepeatedWhileOneIsUnderWay() {
    passTheFirstSeconds();
    log.appends = MemoryLog.Manner.SILENT;
    isDependedOn = true;
    int before = log.appendCalls;
    timers.advance(900);
    assertThat(log.appendCalls - before, lessThanOrEqualTo(1));
  }

  @Test
  void afterASuspensionANodeIsInTouchOnceABeatSentSinceThenWasReadBack() {
    passTheFirstSeconds();
    assertThat(agent.isInTouch(), is(true));
    timers.suspend(5_000);
    assertThat(agent.isInTouch(), is(false));
    // It beats at its next tick, whatever its period, and reads at once.
    timers.advance(600);
    assertThat(agent.isInTouch(), is(true));
  }

  @Test
  void whileTheLogIsAwayANodeThatWokeIsNotInTouch() {
    passTheFirstSeconds();
    log.appends = MemoryLog.Manner.SILENT;
    timers.suspend(5_000);
    timers.advance(1_000);
    assertThat(agent.isInTouch(), is(false));
  }

  @Test
  void aReadThatASuspensionHasCutOffIsNotWaitedFor() {
    passTheFirstSeconds();
    log.hangReads = true;
    timers.advance(1_000);
    log.hangReads = false;
    timers.suspend(5_000);
    timers.advance(1_100);
    assertThat(agent.isInTouch(), is(true));
  }

  private List<ServerUse> lastOwnUse() {
    List<byte[]> records = log.stream(STREAM);
    return Codec.decode(records.get(records.size() - 1), MemberBeat.class).serverUse();
  }

  @Test
  void beatsTellOfServersWhileThereIsSomethingToTell() {
    List<ServerUse> own = new ArrayList<>();
    agent.shareServerUse(() -> own, beat -> {});
    own.add(new ServerUse("s", 0, 3, 45));
    timers.advance(600);
    assertThat(lastOwnUse(), equalTo(own));
    own.clear();
    timers.advance(600);
    assertThat(lastOwnUse(), empty());
  }

  @Test
  void whatOthersTellOfServersIsPassedOnAndWhatWasToldLongAgoIsNot() {
    List<MemberBeat> told = new ArrayList<>();
    agent.shareServerUse(List::of, told::add);
    timers.advance(600);
    assertThat(told, empty());
    MemberBeat beat =
        new MemberBeat(
            "other", "o:1", "z", 1, true, 0, 500, 0, 0, List.of(new ServerUse("s", 0, 3, 45)));
    log.stream(STREAM).add(Codec.encode(beat));
    timers.advance(600);
    assertThat(told, contains(beat));
  }
}
