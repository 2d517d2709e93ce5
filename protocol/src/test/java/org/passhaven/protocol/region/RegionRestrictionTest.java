package org.passhaven.protocol.region;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.Set;
import org.junit.jupiter.api.Test;

class RegionRestrictionTest {
  private final RegionRestriction aOrB = RegionRestriction.to(Set.of("a", "b"));

  @Test
  void allowsAllRegionsWithoutRestriction() {
    assertThat(RegionRestriction.NONE.allows("a"), equalTo(true));
    assertThat(RegionRestriction.NONE.isRestricted(), equalTo(false));
  }

  @Test
  void bothRestrictionsBind() {
    RegionRestriction both = aOrB.and(RegionRestriction.to(Set.of("b", "c")));
    assertThat(both.allows("b"), equalTo(true));
    assertThat(both.allows("a"), equalTo(false));
    assertThat(aOrB.and(RegionRestriction.NONE), equalTo(aOrB));
    assertThat(RegionRestriction.NONE.and(aOrB), equalTo(aOrB));
  }

  @Test
  void restrictionsWithoutACommonRegionAllowNone() {
    RegionRestriction neither = aOrB.and(RegionRestriction.to(Set.of("c")));
    assertThat(neither.isRestricted(), equalTo(true));
    assertThat(neither.allows("a"), equalTo(false));
    assertThat(neither.allows("c"), equalTo(false));
  }
}
