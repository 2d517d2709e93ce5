package org.passhaven.core.order;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;

class WeightLoadPlannerTest {
  private final WeightLoadPlanner planner = new WeightLoadPlanner(new ConcurrentLoadLimit(2, 0.3));

  private static ServerEntry server(String name, long m, long n) {
    return new ServerEntry(
        ServerIncarnation.of(name), "llm", name + ":1", "z", 8, true, Map.of("m", m, "n", n));
  }

  private static WeightDemand demand(Map<String, Long> newest) {
    return new WeightDemand(newest, Map.of());
  }

  private static List<String> names(List<WeightLoadPlanner.WeightLoad> loads) {
    return loads.stream()
        .map(load -> load.server().incarnation().id() + " " + load.model() + " " + load.version())
        .toList();
  }

  @Test
  void concurrentLoadsAreLimited() {
    List<ServerEntry> servers = List.of(server("a", 1, 1), server("b", 1, 1), server("c", 1, 1));
    Map<String, Long> newest = Map.of("m", 2L);
    assertThat(names(planner.startLoads(servers, demand(newest), 0)), contains("a m 2", "b m 2"));
    assertThat(planner.startLoads(servers, demand(newest), 10), empty());
    planner.onLoaded(ServerIncarnation.of("a"));
    List<ServerEntry> loaded = List.of(server("a", 2, 1), server("b", 1, 1), server("c", 1, 1));
    assertThat(names(planner.startLoads(loaded, demand(newest), 20)), contains("c m 2"));
  }

  @Test
  void aLargeServiceLoadsOnAFractionOfItsServers() {
    List<ServerEntry> servers =
        IntStream.range(0, 24).mapToObj(i -> server(String.format("s%02d", i), 1, 1)).toList();
    assertThat(planner.startLoads(servers, demand(Map.of("m", 2L)), 0), hasSize(7));
  }

  @Test
  void theModelOnTheFewestServersIsLoadedFirst() {
    List<ServerEntry> servers = List.of(server("a", 2, 1), server("b", 2, 1), server("c", 1, 1));
    Map<String, Long> newest = Map.of("m", 2L, "n", 2L);
    WeightDemand everywhere = new WeightDemand(newest, Map.of("m", 72, "n", 72));
    assertThat(names(planner.startLoads(servers, everywhere, 0)), contains("a n 2", "b n 2"));
  }

  @Test
  void aServerIsNotRetriedBeforeTheRetryTime() {
    List<ServerEntry> servers = List.of(server("a", 1, 1));
    Map<String, Long> newest = Map.of("m", 2L);
    planner.startLoads(servers, demand(newest), 0);
    planner.onFailed(ServerIncarnation.of("a"), 500);
    assertThat(planner.startLoads(servers, demand(newest), 499), empty());
    assertThat(names(planner.startLoads(servers, demand(newest), 500)), contains("a m 2"));
  }

  @Test
  void noLoadIsNeededOnceAllServersHaveTheNewestVersion() {
    List<ServerEntry> servers = List.of(server("a", 2, 1));
    assertThat(planner.hasWork(servers, demand(Map.of("m", 2L)), 0), is(false));
    assertThat(planner.hasWork(servers, demand(Map.of("m", 3L)), 0), is(true));
  }

  @Test
  void aLeavingServerGetsNoLoad() {
    ServerEntry leaving =
        new ServerEntry(ServerIncarnation.of("a"), "llm", "a:1", "z", 8, false, Map.of("m", 1L));
    assertThat(planner.startLoads(List.of(leaving), demand(Map.of("m", 2L)), 0), empty());
  }

  @Test
  void anUnreachableServerIsReplacedByAnother() {
    List<ServerEntry> servers = List.of(server("a", 1, 1), server("b", 1, 1));
    Map<String, Long> newest = Map.of("m", 2L, "n", 1L);
    assertThat(names(planner.startLoads(servers, demand(newest), 0)), contains("a m 2"));
    planner.onUnreachable(ServerIncarnation.of("a"), 1_500);
    assertThat(names(planner.startLoads(servers, demand(newest), 10)), contains("b m 2"));
  }
}
