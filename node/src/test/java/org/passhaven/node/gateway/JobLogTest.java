package org.passhaven.node.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.passhaven.core.member.HeartbeatTable;
import org.passhaven.node.ManualTimers;
import org.passhaven.node.MemoryLog;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.job.JobRecord;
import org.passhaven.protocol.member.MemberBeat;
import org.passhaven.spi.DutyService;

/** Guards against overloaded startup reads and against lost or reused claims of runs. */
class JobLogTest {
  private static final int PARTITIONS = 16;
  private final ManualTimers timers = new ManualTimers();
  private final HeartbeatTable heartbeats = new HeartbeatTable(1_500);
  private final MemoryLog records = new MemoryLog(timers);
  private final JobLog log =
      new JobLog(
          new GatewayContext(
              GatewayFixture.settings(PARTITIONS, 262_144, 2_097_152),
              1,
              timers,
              bound -> 0,
              records,
              new GatewayFixture.SilentTables(),
              new GatewayFixture.SilentServers(),
              DutyService.NONE,
              new GatewayFixture.EmptyDocuments(),
              new GatewayMetrics(new SimpleMeterRegistry())));

  private String runWithFirstCandidate(String node) {
    for (int i = 0; ; i++) {
      if (heartbeats.rankForKey(log.streamOf("run" + i), node) == 0) {
        return "run" + i;
      }
    }
  }

  @Test
  void theFirstCandidateReadsAPartitionBeforeOtherNodes() {
    for (String node : List.of("n", "other")) {
      heartbeats.onHeartbeat(new MemberBeat(node, node + ":1", "z", 1, true, 0, 0, 0, 0), 0);
    }
    String own = runWithFirstCandidate("n");
    String others = runWithFirstCandidate("other");
    log.start(heartbeats);
    timers.advance(300);
    assertThat(log.isCaughtUp(own), is(true));
    assertThat(log.isCaughtUp(others), is(false));
    timers.advance(400);
    assertThat(log.isCaughtUp(others), is(true));
    assertThat(log.isCaughtUp(), is(true));
  }

  @Test
  void theNextClaimHasAHigherEpochThanTruncatedClaims() {
    heartbeats.onHeartbeat(new MemberBeat("n", "n:1", "z", 1, true, 0, 0, 0, 0), 0);
    String run = runWithFirstCandidate("n");
    String stream = log.streamOf(run);
    for (long epoch = 1; epoch <= 10; epoch++) {
      JobRecord claim = new JobRecord.RunClaimed(run, epoch, "other", 1, epoch - 1);
      records.stream(stream).add(Codec.encode(claim));
    }
    records.truncate(stream, 10);
    log.start(heartbeats);
    timers.advance(100);
    assertThat(log.owners().epochOf(run), is(0L));
    JobRecord.RunClaimed next = log.claim(run).orElseThrow();
    assertThat(next.epoch(), is(11L));
    assertThat(next.readTo(), is(10L));
  }

  @Test
  void anOwnersClaimIsRenewedBeforeTheLogDropsIt() {
    heartbeats.onHeartbeat(new MemberBeat("n", "n:1", "z", 1, true, 0, 0, 0, 0), 0);
    String run = runWithFirstCandidate("n");
    String stream = log.streamOf(run);
    log.start(heartbeats);
    timers.advance(100);
    records.stream(stream).add(Codec.encode(log.claim(run).orElseThrow()));
    timers.advance(10_000);
    assertThat(log.ownsAnyRun(), is(true));
    assertThat(records.stream(stream).size(), is(1));
    timers.advance(76_000);
    assertThat(records.stream(stream).size(), is(2));
  }
}
