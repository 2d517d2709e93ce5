package org.passhaven.node.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.passhaven.core.member.BeatTable;
import org.passhaven.node.ManualTimers;
import org.passhaven.node.MemoryLog;
import org.passhaven.protocol.member.MemberBeat;

class JobLogTest {
  private static final int PARTITIONS = 16;
  private final ManualTimers timers = new ManualTimers();
  private final BeatTable beats = new BeatTable(1_500);
  private final JobLog log =
      new JobLog(
          new GatewayContext(
              GatewayFixture.settings(PARTITIONS, 262_144, 2_097_152),
              1,
              timers,
              bound -> 0,
              new MemoryLog(timers),
              new GatewayFixture.NoTables(),
              new GatewayFixture.NoServers(),
              new GatewayFixture.NoDocuments(),
              new GatewayMetrics(new SimpleMeterRegistry())));

  private String runOfAPartitionWhoseFirstCandidateIs(String node) {
    for (int i = 0; ; i++) {
      if (beats.rankOf(log.streamOf("run" + i), node) == 0) {
        return "run" + i;
      }
    }
  }

  @Test
  void theFirstCandidateReadsAPartitionBeforeTheOthersDo() {
    for (String node : List.of("n", "other")) {
      beats.onBeat(new MemberBeat(node, node + ":1", "z", 1, true, 0, 0), 0);
    }
    String own = runOfAPartitionWhoseFirstCandidateIs("n");
    String others = runOfAPartitionWhoseFirstCandidateIs("other");
    log.start(beats);
    timers.advance(300);
    assertThat(log.isCaughtUp(own), is(true));
    assertThat(log.isCaughtUp(others), is(false));
    timers.advance(400);
    assertThat(log.isCaughtUp(others), is(true));
    assertThat(log.isCaughtUp(), is(true));
  }
}
