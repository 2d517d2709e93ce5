package org.passhaven.core.route;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.passhaven.core.tenant.TenantTable;

/** Guards against wrong route lookups and wrong distribution over services. */
class RouteTableTest {
  static Route route(String name, String prefix, ServiceShare... shares) {
    return new Route(
        name,
        "a.example",
        prefix,
        List.of(shares),
        Route.Kind.REPEATABLE,
        1_000,
        100,
        2,
        false,
        false,
        0,
        0,
        true);
  }

  private final RouteTable table =
      new RouteTable(
          1,
          List.of(
              route("short", "/a/", new ServiceShare("s", 1)),
              route("long", "/a/b/", new ServiceShare("t", 1))),
          RequestLimits.DEFAULT,
          TenantTable.NONE);

  private Optional<String> find(String host, String uri) {
    return table.find(host, uri).map(Route::name);
  }

  @Test
  void onlyServicesOfRoutesAreUsed() {
    assertThat(table.usesService("s"), equalTo(true));
    assertThat(table.usesService("t"), equalTo(true));
    assertThat(table.usesService("u"), equalTo(false));
  }

  @Test
  void theLongestPrefixWins() {
    assertThat(find("a.example", "/a/b/c"), equalTo(Optional.of("long")));
    assertThat(find("a.example", "/a/bc"), equalTo(Optional.of("short")));
  }

  @Test
  void hostLookupIgnoresCaseAndPort() {
    assertThat(find("A.example:80", "/a/x?y=/a/b/"), equalTo(Optional.of("short")));
  }

  @Test
  void otherHostsAndPathsHaveNoRoute() {
    assertThat(find("b.example", "/a/x").isPresent(), is(false));
    assertThat(find("a.example", "/a").isPresent(), is(false));
    assertThat(find("a.example", "/x/?p=/a/").isPresent(), is(false));
  }

  @Test
  void requestsMatchTheWeightsExactlyOverWholeCycles() {
    Route split = route("r", "/r/", new ServiceShare("s", 90), new ServiceShare("t", 10));
    WeightedRoundRobin rotation = new WeightedRoundRobin(bound -> bound / 3);
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < 1_000; i++) {
      counts.merge(rotation.next(split), 1, Integer::sum);
    }
    assertThat(counts, equalTo(Map.of("s", 900, "t", 100)));
  }

  @Test
  void manyNodesWithOneRequestEachMatchTheWeightsInTotal() {
    Route split = route("r", "/r/", new ServiceShare("s", 75), new ServiceShare("t", 25));
    int second = 0;
    for (int node = 0; node < 100; node++) {
      int start = node;
      second += new WeightedRoundRobin(bound -> start).next(split).equals("t") ? 1 : 0;
    }
    assertThat(second, equalTo(25));
  }
}
