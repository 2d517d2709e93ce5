package org.passhaven.core.member;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.passhaven.core.topology.Topology;
import org.passhaven.protocol.member.MemberBeat;

/** Guards against callers that are sent to another region while their own has nodes. */
class RegionAddressesTest {
  private final Topology topology =
      new Topology("a1", Map.of("a1", "a", "a2", "a", "b1", "b", "b2", "b"));
  private final HeartbeatTable table = new HeartbeatTable(1_500);

  private void heartbeat(String node, String zone, boolean isTaking, double requestsPerSecond) {
    table.onHeartbeat(new MemberBeat(node, node, zone, 1, isTaking, requestsPerSecond, 0, 0, 0), 0);
  }

  private List<String> addressesFor(String zone, String region) {
    return table.addressesFor(zone, region, topology, 2, 64);
  }

  @Test
  void aCallerOfAZoneWithOneNodeStaysInItsRegion() {
    heartbeat("a1-1", "a1", true, 0);
    heartbeat("a2-1", "a2", true, 0);
    heartbeat("b1-1", "b1", true, 0);
    heartbeat("b2-1", "b2", true, 0);
    assertThat(addressesFor("a1", "a"), containsInAnyOrder("a1-1", "a2-1"));
    assertThat(addressesFor("b2", "b"), containsInAnyOrder("b1-1", "b2-1"));
  }

  @Test
  void theOtherRegionIsNamedOnlyWhileTheOwnHasNoNode() {
    heartbeat("a1-1", "a1", false, 0);
    heartbeat("b1-1", "b1", true, 0);
    assertThat(addressesFor("a1", "a"), containsInAnyOrder("b1-1"));
    heartbeat("a2-1", "a2", true, 0);
    assertThat(addressesFor("a1", "a"), containsInAnyOrder("a2-1"));
  }

  @Test
  void aZoneSufficesAsLongAsItsNodesCanTakeItsShareOfTheLoad() {
    heartbeat("a1-1", "a1", true, 10);
    heartbeat("a1-2", "a1", true, 10);
    heartbeat("a2-1", "a2", true, 10);
    heartbeat("a2-2", "a2", true, 10);
    assertThat(addressesFor("a1", "a"), containsInAnyOrder("a1-1", "a1-2"));
    heartbeat("a2-1", "a2", true, 40);
    heartbeat("a2-2", "a2", true, 40);
    assertThat(addressesFor("a1", "a"), containsInAnyOrder("a1-1", "a1-2", "a2-1", "a2-2"));
  }

  @Test
  void theRegionOfTheLookupCountsForAZoneThatIsNotKnown() {
    heartbeat("a1-1", "a1", true, 0);
    heartbeat("b1-1", "b1", true, 0);
    assertThat(addressesFor("b3", "b"), containsInAnyOrder("b1-1"));
    assertThat(addressesFor("b1", ""), containsInAnyOrder("b1-1"));
    assertThat(addressesFor("b1", "no-region"), containsInAnyOrder("b1-1"));
  }
}
