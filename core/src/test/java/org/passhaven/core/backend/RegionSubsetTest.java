package org.passhaven.core.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.in;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.passhaven.core.placement.Member;
import org.passhaven.core.topology.Topology;

/** Guards against subsets that ignore regions or that are lost with one zone. */
class RegionSubsetTest {
  private static final int SEEDS = 20;
  private static final Map<String, String> REGIONS =
      Map.of("a0", "a", "a1", "a", "a2", "a", "b0", "b", "b1", "b", "b2", "b");

  private static List<Member> nodes(int count, String region, Random random) {
    List<Member> nodes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      nodes.add(new Member("n" + random.nextInt(1 << 30), region + i % 3));
    }
    return nodes;
  }

  private static List<ServerEntry> servers(int count, String region, Random random) {
    List<ServerEntry> servers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      servers.add(SubsetFixture.server("i-" + random.nextInt(1 << 30), region + i % 3));
    }
    return servers;
  }

  private static <T> List<T> joined(List<T> first, List<T> second) {
    List<T> joined = new ArrayList<>(first);
    joined.addAll(second);
    return joined;
  }

  private static ServerSubset subset(
      Member self, List<Member> nodes, List<ServerEntry> servers, boolean leavesZone) {
    return ServerSubset.of(self, nodes, servers, new Topology(self.zone(), REGIONS), leavesZone);
  }

  private static List<ServerEntry> membersOf(ServerSubset subset) {
    return subset.byPreference().subList(0, subset.size());
  }

  private static Set<String> zonesOf(ServerSubset subset) {
    return membersOf(subset).stream().map(ServerEntry::zone).collect(Collectors.toSet());
  }

  /** Many nodes and few servers in one region, the reverse in the other one. */
  @Test
  void subsetsStayInTheRegionAndAreEvenThereHoweverNodesAndServersAreSpread() {
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      List<Member> nodes = joined(nodes(60, "a", random), nodes(20, "b", random));
      List<ServerEntry> own = servers(9, "a", random);
      List<ServerEntry> servers = joined(own, servers(18, "b", random));
      Map<String, List<ServerEntry>> subsets = new HashMap<>();
      for (Member node : nodes.subList(0, 60)) {
        ServerSubset subset = subset(node, nodes, servers, true);
        assertThat(membersOf(subset), everyItem(in(own)));
        assertThat(
            "the region comes first", subset.byPreference().subList(0, 9), everyItem(in(own)));
        subsets.put(node.name(), membersOf(subset));
      }
      assertThat(SubsetFixture.maxOverMean(subsets, own, 3), lessThanOrEqualTo(1.15));
      assertThat(SubsetFixture.maxOverMean(subsets, own, 1), lessThanOrEqualTo(1.2));
    }
  }

  @Test
  void nodesOfARegionWithoutServersAreSpreadOverTheOtherOne() {
    Random random = new Random(1);
    List<Member> nodes = joined(nodes(40, "a", random), nodes(40, "b", random));
    List<ServerEntry> servers = servers(12, "b", random);
    Map<String, List<ServerEntry>> subsets = new HashMap<>();
    nodes.forEach(node -> subsets.put(node.name(), membersOf(subset(node, nodes, servers, true))));
    assertThat(SubsetFixture.maxOverMean(subsets, servers, 3), lessThanOrEqualTo(1.15));
  }

  @Test
  void serversWithMoreSlotsHaveMoreNodesOfARegionWithoutServers() {
    Random random = new Random(5);
    List<Member> nodes = nodes(80, "a", random);
    ServerEntry large =
        new ServerEntry(ServerIncarnation.of("large"), "s", "l:1", "b0", 12, true, Map.of());
    List<ServerEntry> servers = joined(servers(11, "b", random), List.of(large));
    long nodesOfLarge =
        nodes.stream()
            .filter(node -> membersOf(subset(node, nodes, servers, true)).contains(large))
            .count();
    long share = 2 * 80 * 3 / 13 + 1;
    assertThat(nodesOfLarge, greaterThanOrEqualTo(share * 3 / 4));
    assertThat(nodesOfLarge, lessThanOrEqualTo(share));
  }

  @Test
  void noSubsetLiesInOneZone() {
    int inOneZone = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      List<Member> nodes = nodes(80, "a", random);
      List<ServerEntry> servers = servers(12, "a", random);
      for (Member node : nodes) {
        ServerSubset subset = subset(node, nodes, servers, true);
        assertThat(zonesOf(subset).size(), greaterThan(1));
        inOneZone += zonesOf(subset(node, nodes, servers, false)).size() == 1 ? 1 : 0;
      }
    }
    assertThat("subsets that would lie in one zone", inOneZone, greaterThan(0));
  }

  @Test
  void theZoneIsLeftForTheRegionIfItHasOthersAndElseForTheOtherRegion() {
    Random random = new Random(2);
    List<Member> nodes = joined(nodes(40, "a", random), nodes(40, "b", random));
    Member self = nodes.get(0);
    List<ServerEntry> inZone =
        servers(12, "a", random).stream()
            .map(server -> SubsetFixture.server(server.incarnation().id(), "a0"))
            .toList();
    List<ServerEntry> others = servers(12, "b", random);
    ServerSubset acrossRegions = subset(self, nodes, joined(inZone, others), true);
    assertThat(acrossRegions.byPreference().subList(0, 2), everyItem(in(inZone)));
    assertThat(membersOf(acrossRegions).get(2), in(others));
    ServerEntry inRegion = SubsetFixture.server("i-region", "a1");
    ServerSubset withinRegion =
        subset(self, nodes, joined(joined(inZone, List.of(inRegion)), others), true);
    assertThat(membersOf(withinRegion).get(2), equalTo(inRegion));
  }

  @Test
  void allNodesComputeTheSameSubsetOfANode() {
    Random random = new Random(3);
    List<Member> nodes = joined(nodes(40, "a", random), nodes(40, "b", random));
    List<ServerEntry> servers = joined(servers(12, "a", random), servers(12, "b", random));
    Member node = nodes.get(5);
    ServerSubset seenFromOther =
        ServerSubset.of(node, nodes, servers, new Topology("b2", REGIONS), true);
    assertThat(subset(node, nodes, servers, true), equalTo(seenFromOther));
  }

  private static final Predicate<ServerEntry> IN_REGION = server -> server.zone().startsWith("a");

  private static ServerSubset ofBothRegions() {
    Random random = new Random(4);
    List<Member> nodes = joined(nodes(40, "a", random), nodes(40, "b", random));
    List<ServerEntry> servers = joined(servers(12, "a", random), servers(12, "b", random));
    return subset(nodes.get(0), nodes, servers, true);
  }

  @Test
  void aRequestStaysInTheRegionWhileOneServerThereIsUsable() {
    ServerSubset subset = ofBothRegions();
    assertThat(
        subset.candidates(server -> true, IN_REGION, server -> true), equalTo(membersOf(subset)));
    ServerEntry last =
        subset.byPreference().stream().filter(IN_REGION).reduce((one, two) -> two).orElseThrow();
    List<ServerEntry> own =
        subset.candidates(
            server -> !IN_REGION.test(server),
            IN_REGION,
            server -> server.equals(last) || !IN_REGION.test(server));
    assertThat("slow, but usable", own, hasSize(12));
    assertThat(own.stream().allMatch(IN_REGION), equalTo(true));
  }

  @Test
  void aRegionWithoutServersUsesItsSubsetOfTheOtherRegion() {
    Random random = new Random(6);
    List<Member> nodes = joined(nodes(40, "a", random), nodes(40, "b", random));
    ServerSubset subset = subset(nodes.get(0), nodes, servers(24, "b", random), true);
    assertThat(
        subset.candidates(server -> true, IN_REGION, server -> true), equalTo(membersOf(subset)));
  }

  @Test
  void aRequestLeavesARegionWithoutUsableServerForUsableOnesOnly() {
    ServerSubset subset = ofBothRegions();
    List<ServerEntry> others = subset.candidates(IN_REGION.negate(), IN_REGION, IN_REGION.negate());
    assertThat(others, hasSize(12));
    assertThat(others.stream().noneMatch(IN_REGION), equalTo(true));
    assertThat(
        "all are bad",
        subset.candidates(server -> false, IN_REGION, server -> false),
        contains(subset.byPreference().toArray()));
  }
}
