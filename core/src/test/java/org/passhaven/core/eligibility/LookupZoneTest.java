package org.passhaven.core.eligibility;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.passhaven.core.route.RequestLimits;
import org.passhaven.core.route.Route;
import org.passhaven.core.route.RouteTable;
import org.passhaven.core.route.ServiceShare;
import org.passhaven.core.tenant.TenantTable;
import org.passhaven.core.topology.Topology;
import org.passhaven.protocol.region.RegionRestriction;

/** Guards against callers that are sent to nodes of regions that their requests must not enter. */
class LookupZoneTest {
  private static final Topology TOPOLOGY =
      new Topology("a", Map.of("a", "near", "b", "near", "c", "far"));
  private static final RegionRestriction NEAR = RegionRestriction.to(Set.of("near"));
  private static final RegionRestriction FAR = RegionRestriction.to(Set.of("far"));

  private static String choose(RegionRestriction restriction, String... zonesWithNodes) {
    return LookupZone.choose("a", restriction, TOPOLOGY, List.of(zonesWithNodes));
  }

  @Test
  void aCallerInAnAllowedRegionKeepsItsZone() {
    assertThat(choose(RegionRestriction.NONE, "c"), equalTo("a"));
    assertThat(choose(NEAR, "a", "b", "c"), equalTo("a"));
    assertThat("its region has nodes", choose(NEAR, "b", "c"), equalTo("a"));
  }

  @Test
  void aCallerInAnotherRegionGetsAZoneOfAnAllowedOne() {
    assertThat(choose(FAR, "a", "b", "c"), equalTo("c"));
  }

  @Test
  void aCallerWhoseAllowedRegionHasNoNodesGetsAnotherAllowedOne() {
    assertThat(choose(RegionRestriction.to(Set.of("near", "far")), "c"), equalTo("c"));
  }

  @Test
  void withoutNodesInAllowedRegionsTheCallerKeepsItsZone() {
    assertThat(choose(FAR, "a", "b"), equalTo("a"));
  }

  private static Route route(String path, RegionRestriction restriction) {
    return new Route(
        path,
        "h",
        path,
        List.of(new ServiceShare("s", 1)),
        Route.Kind.REPEATABLE,
        0,
        0,
        1,
        false,
        false,
        0,
        0,
        true,
        restriction);
  }

  private static RegionRestriction ofHost(Route... routes) {
    return new RouteTable(1, List.of(routes), RequestLimits.DEFAULT, TenantTable.NONE)
        .restrictionOfHost("H:80");
  }

  @Test
  void aHostIsRestrictedOnlyIfAllItsRoutesAre() {
    assertThat(ofHost(), equalTo(RegionRestriction.NONE));
    assertThat(
        ofHost(route("/a/", NEAR), route("/b/", RegionRestriction.NONE)),
        equalTo(RegionRestriction.NONE));
    assertThat(
        ofHost(route("/a/", NEAR), route("/b/", FAR)),
        equalTo(RegionRestriction.to(Set.of("near", "far"))));
  }
}
