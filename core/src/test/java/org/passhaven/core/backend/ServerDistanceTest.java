package org.passhaven.core.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.passhaven.core.topology.Topology;

/** Guards against requests that cross regions although another zone has room, and the reverse. */
class ServerDistanceTest {
  private static final ServerEntry OTHER_REGION = SubsetFixture.server("far", "b1");
  private static final ServerEntry OTHER_ZONE = SubsetFixture.server("near", "a2");
  private final Topology topology =
      new Topology("a1", Map.of("a1", "a", "a2", "a", "b1", "b", "b2", "b"));
  private final ServerHealth health = new ServerHealth();
  private final ServerPicker picker =
      ServerPicker.byDistance(health, server -> topology.to(server.zone()));

  private ServerEntry pick() {
    return picker.pick(List.of(OTHER_REGION, OTHER_ZONE), Set.of(), 0).orElseThrow();
  }

  private void occupy(ServerEntry server, int slots) {
    for (int i = 0; i < slots; i++) {
      health.onSent(server.incarnation());
    }
  }

  @Test
  void theOtherZoneIsPreferredToTheOtherRegion() {
    assertThat(pick(), equalTo(OTHER_ZONE));
    occupy(OTHER_ZONE, 1);
    assertThat(pick(), equalTo(OTHER_ZONE));
  }

  @Test
  void aFullServerIsLeftForTheOtherRegion() {
    occupy(OTHER_ZONE, 6);
    assertThat(pick(), equalTo(OTHER_REGION));
  }

  @Test
  void aLongerRoundTripCostsMore() {
    occupy(OTHER_ZONE, 3);
    health.onSuccess(OTHER_ZONE.incarnation(), 100, 0);
    health.onSuccess(OTHER_REGION.incarnation(), 110, 0);
    assertThat(pick(), equalTo(OTHER_REGION));
    health.onSuccess(OTHER_REGION.incarnation(), 360, 0);
    assertThat("160 ms", pick(), equalTo(OTHER_ZONE));
  }
}
