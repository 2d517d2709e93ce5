package org.passhaven.node.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.hasItem;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.passhaven.core.topology.Topology;
import org.passhaven.node.ClockJumpDetectingTimers;
import org.passhaven.node.ManualTimers;
import org.passhaven.node.MemoryLog;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.member.MemberBeat;
import org.passhaven.spi.DutyService;

/** Guards against a node that tells callers addresses without regard to their region. */
class RegionLookupTest {
  private static final String MEMBERS_STREAM = "members.0";
  private static final long STARTUP_MILLIS = 2_000;
  private final ManualTimers timers = new ManualTimers();
  private final MemoryLog log = new MemoryLog(timers);

  private void heartbeat(String node, String zone) {
    MemberBeat heartbeat = new MemberBeat(node, node + ":1", zone, 1, true, 0, 10_000, 0, 0);
    log.stream(MEMBERS_STREAM).add(Codec.encode(heartbeat));
  }

  @Test
  void callersAreToldNodesOfTheRegionInTheirLookup() {
    Gateway gateway =
        new Gateway(
            new GatewayContext(
                GatewayFixture.settings(
                    new Topology("z", Map.of("z", "own", "y", "own", "x", "other", "w", "other"))),
                1,
                new ClockJumpDetectingTimers(timers),
                bound -> 0,
                log,
                new GatewayFixture.SilentTables(),
                new GatewayFixture.SilentServers(),
                DutyService.NONE,
                new GatewayFixture.EmptyDocuments(),
                new GatewayMetrics(new SimpleMeterRegistry())));
    gateway.start();
    heartbeat("y1", "y");
    heartbeat("x1", "x");
    heartbeat("w1", "w");
    timers.advance(STARTUP_MILLIS);
    assertThat(gateway.addressesFor("x", "other"), containsInAnyOrder("x1:1", "w1:1"));
    assertThat(gateway.addressesFor("new-zone", "other"), containsInAnyOrder("x1:1", "w1:1"));
    assertThat(gateway.addressesFor("z", "own"), containsInAnyOrder("n:1", "y1:1"));
    assertThat(gateway.addressesFor("z"), hasItem("y1:1"));
  }
}
