package org.passhaven.core.topology;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

/** Guards against distances that cost too little to keep work near, or more than a full server. */
class DistanceCostsTest {
  private static void assertAscending(DistanceCosts costs) {
    assertThat(costs.slots(Distance.SAME_ZONE), equalTo(0.0));
    assertThat(costs.slots(Distance.SAME_REGION), equalTo(0.15));
    assertThat(costs.slots(Distance.OTHER_REGION), greaterThan(0.15));
    assertThat("below a full server", costs.slots(Distance.OTHER_REGION), lessThan(1.0));
    assertThat(costs.millis(Distance.SAME_ZONE), equalTo(0.0));
    assertThat(costs.millis(Distance.SAME_REGION), equalTo(15.0));
    assertThat(costs.millis(Distance.OTHER_REGION), greaterThan(15.0));
  }

  @Test
  void anotherRegionCostsMoreThanAnotherZoneAndLessThanAFullServer() {
    assertAscending(DistanceCosts.ESTIMATED);
    for (double otherMillis : new double[] {1, 25, 41, 75, 10_000}) {
      assertAscending(DistanceCosts.measured(25, otherMillis));
    }
  }

  @Test
  void costsFollowTheMeasuredRoundTrip() {
    DistanceCosts near = DistanceCosts.measured(100, 140);
    DistanceCosts far = DistanceCosts.measured(100, 160);
    assertThat(far.slots(Distance.OTHER_REGION), greaterThan(near.slots(Distance.OTHER_REGION)));
    assertThat(far.millis(Distance.OTHER_REGION), equalTo(75.0));
  }

  @Test
  void costsAreEstimatedUntilBothRegionsAreMeasured() {
    assertThat(DistanceCosts.measured(0, 40), equalTo(DistanceCosts.ESTIMATED));
    assertThat(DistanceCosts.measured(40, 0), equalTo(DistanceCosts.ESTIMATED));
  }
}
