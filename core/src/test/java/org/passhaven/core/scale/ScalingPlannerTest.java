package org.passhaven.core.scale;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.passhaven.core.service.Scaling;

class ScalingPlannerTest {
  private static final Scaling SCALING =
      new Scaling(2, 4, 0, OptionalDouble.empty(), Map.of("a", 1.2, "b", 0.8));

  private static ScalingPlanner.Zone zone(int servers) {
    return new ScalingPlanner.Zone(new ZoneServers(servers, servers, 0), 0, 0);
  }

  private static Map<String, Integer> raise(int a, int b, int c, int missing) {
    return ScalingPlanner.raise(
        SCALING, Map.of("a", zone(a), "b", zone(b), "c", zone(c)), missing, Set.of());
  }

  @Test
  void amongEquallyLargeZonesTheCheapestComesFirst() {
    assertThat(raise(3, 3, 3, 1), equalTo(Map.of("b", 4)));
    assertThat(raise(3, 3, 3, 2), equalTo(Map.of("b", 4, "c", 4)));
    assertThat(raise(2, 3, 3, 1), equalTo(Map.of("a", 3)));
  }

  @Test
  void noOrderExceedsTheBoundsOfAZone() {
    assertThat(raise(3, 3, 3, 100), equalTo(Map.of("a", 4, "b", 4, "c", 4)));
    assertThat(raise(4, 5, 4, 3), equalTo(Map.of()));
    assertThat(raise(0, 4, 4, 1), equalTo(Map.of("a", 2)));
  }
}
