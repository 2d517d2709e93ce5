package org.passhaven.core.topology;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;

import java.util.Map;
import org.junit.jupiter.api.Test;

class TopologyTest {
  private final Topology twoRegions =
      new Topology("a1", Map.of("a1", "a", "a2", "a", "b1", "b", "b2", "b"));

  @Test
  void measuresDistances() {
    assertThat(twoRegions.to("a1"), equalTo(Distance.SAME_ZONE));
    assertThat(twoRegions.to("a2"), equalTo(Distance.SAME_REGION));
    assertThat(twoRegions.to("b1"), equalTo(Distance.OTHER_REGION));
    assertThat(twoRegions.between("b1", "b2"), equalTo(Distance.SAME_REGION));
  }

  @Test
  void listsItsRegions() {
    assertThat(twoRegions.regions(), contains("a", "b"));
    assertThat(twoRegions.hasSeveralRegions(), equalTo(true));
  }

  @Test
  void placesAnUnknownZoneInTheRegionOfTheNode() {
    assertThat(twoRegions.to("c1"), equalTo(Distance.SAME_REGION));
    assertThat(Topology.ofZone("z").to("y"), equalTo(Distance.SAME_REGION));
    assertThat(Topology.ofZone("z").hasSeveralRegions(), equalTo(false));
    assertThat(new Topology("z", Map.of("a1", "a")).to("a1"), equalTo(Distance.SAME_REGION));
  }
}
