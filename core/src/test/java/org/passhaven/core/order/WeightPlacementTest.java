package org.passhaven.core.order;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItems;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;

class WeightPlacementTest {
  private static final List<String> MODELS = List.of("k", "m", "n");
  private final WeightPlacement placement = new WeightPlacement(ServerEntry::versionOf);

  private static ServerEntry server(String name, long k, long m, long n) {
    return new ServerEntry(
        ServerIncarnation.of(name),
        "llm",
        name + ":1",
        "z",
        8,
        true,
        Map.of("k", k, "m", m, "n", n));
  }

  private static Set<String> serversOf(String model, Map<ServerIncarnation, Set<String>> placed) {
    Set<String> servers = new TreeSet<>();
    placed.forEach(
        (server, models) -> {
          if (models.contains(model)) {
            servers.add(server.id());
          }
        });
    return servers;
  }

  private static List<ServerEntry> serversWithFirstVersions(int count) {
    List<ServerEntry> servers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      servers.add(server("s" + i, 1, 1, 1));
    }
    return servers;
  }

  @Test
  void modelsGetEqualAndDisjointShares() {
    Map<ServerIncarnation, Set<String>> placed =
        placement.place(serversWithFirstVersions(6), MODELS, Map.of());
    for (String model : MODELS) {
      assertThat(serversOf(model, placed).size(), equalTo(2));
    }
    placed.values().forEach(models -> assertThat(models.size(), equalTo(1)));
  }

  @Test
  void theOnlyTrainedModelGetsEveryServer() {
    Map<ServerIncarnation, Set<String>> placed =
        placement.place(serversWithFirstVersions(6), List.of("m"), Map.of());
    assertThat(serversOf("m", placed).size(), equalTo(6));
  }

  @Test
  void aModelKeepsTheServersThatHoldItsWeights() {
    List<ServerEntry> servers =
        List.of(
            server("a", 1, 1, 7),
            server("b", 1, 7, 1),
            server("c", 7, 1, 1),
            server("d", 1, 1, 7),
            server("e", 1, 7, 1),
            server("f", 7, 1, 1));
    Map<ServerIncarnation, Set<String>> placed = placement.place(servers, MODELS, Map.of());
    assertThat(serversOf("k", placed), contains("c", "f"));
    assertThat(serversOf("m", placed), contains("b", "e"));
    assertThat(serversOf("n", placed), contains("a", "d"));
  }

  @Test
  void aModelWithManyOpenItemsGetsMoreServersAndTheOthersKeepTheirs() {
    List<ServerEntry> servers =
        List.of(
            server("a", 7, 1, 1),
            server("b", 7, 1, 1),
            server("c", 1, 7, 1),
            server("d", 1, 7, 1),
            server("e", 1, 1, 7),
            server("f", 1, 1, 7));
    Map<ServerIncarnation, Set<String>> placed = placement.place(servers, MODELS, Map.of("k", 90));
    assertThat(serversOf("k", placed).size(), equalTo(4));
    assertThat(serversOf("k", placed), hasItems("a", "b"));
    assertThat(serversOf("m", placed), contains("c", "d"));
    assertThat(serversOf("n", placed), contains("e", "f"));
  }

  @Test
  void aLostServerIsReplacedByAnother() {
    List<ServerEntry> servers =
        List.of(
            server("b", 7, 1, 1),
            server("c", 1, 7, 1),
            server("d", 1, 7, 1),
            server("e", 1, 1, 7),
            server("f", 1, 1, 7),
            server("z", 1, 1, 1));
    Map<ServerIncarnation, Set<String>> placed = placement.place(servers, MODELS, Map.of());
    assertThat(serversOf("k", placed).size(), equalTo(2));
    assertThat(serversOf("k", placed), hasItems("b"));
    for (String model : MODELS) {
      assertThat(serversOf(model, placed).size(), equalTo(2));
    }
  }

  @Test
  void serversHoldSeveralModelsIfThereAreFewerServersThanModels() {
    Map<ServerIncarnation, Set<String>> placed =
        placement.place(serversWithFirstVersions(2), MODELS, Map.of());
    assertThat(
        placed.get(ServerIncarnation.of("s0")).size()
            + placed.get(ServerIncarnation.of("s1")).size(),
        equalTo(3));
    assertThat(serversOf("k", placed).size(), equalTo(1));
  }

  @Test
  void serversThatLeaveOrServeNoModelGetNoModel() {
    ServerEntry leaving =
        new ServerEntry(ServerIncarnation.of("x"), "llm", "x:1", "z", 8, false, Map.of("k", 1L));
    ServerEntry portal =
        new ServerEntry(ServerIncarnation.of("p"), "portal", "p:1", "z", 8, true, Map.of());
    Map<ServerIncarnation, Set<String>> placed =
        placement.place(List.of(leaving, portal, server("a", 1, 1, 1)), MODELS, Map.of());
    assertThat(placed.keySet(), containsInAnyOrder(ServerIncarnation.of("a")));
  }
}
