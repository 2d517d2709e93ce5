package org.passhaven.core.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.passhaven.core.placement.Member;

/** Guards against inconsistent, uneven or unstable server subsets. */
class ServerSubsetTest {
  private static final int SEEDS = 30;

  private static List<ServerEntry> chosen(ServerSubset subset) {
    return subset.byPreference().subList(0, subset.size());
  }

  @Test
  void theSubsetDoesNotDependOnTheOrderOfNodesAndServers() {
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      List<Member> nodes = SubsetFixture.nodes(40, true, random);
      List<ServerEntry> servers = SubsetFixture.servers(10, true, random);
      ServerSubset one = ServerSubset.of(nodes.get(7), nodes, servers);
      List<Member> otherNodes = new ArrayList<>(nodes);
      List<ServerEntry> otherServers = new ArrayList<>(servers);
      Collections.shuffle(otherNodes, random);
      Collections.shuffle(otherServers, random);
      assertThat(ServerSubset.of(nodes.get(7), otherNodes, otherServers), equalTo(one));
    }
  }

  @Test
  void aSubsetHasEachServerOnceAndAtLeastThree() {
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      List<Member> nodes = SubsetFixture.nodes(1 + random.nextInt(120), true, random);
      List<ServerEntry> servers = SubsetFixture.servers(1 + random.nextInt(30), true, random);
      ServerSubset subset = ServerSubset.of(nodes.get(0), nodes, servers);
      assertThat(subset.size(), greaterThanOrEqualTo(Math.min(3, servers.size())));
      assertThat(subset.byPreference(), containsInAnyOrder(servers.toArray()));
    }
  }

  @Test
  void aSmallFleetOrAServiceOfThreeHasAllServers() {
    for (int[] fleet :
        new int[][] {{1, 3}, {10, 3}, {13, 3}, {80, 3}, {370, 3}, {5, 12}, {8, 40}}) {
      assertThat(
          fleet[0] + " nodes, " + fleet[1] + " servers",
          ServerSubset.sizeFor(fleet[0], fleet[1]),
          is(fleet[1]));
    }
    assertThat(ServerSubset.sizeFor(80, 12), is(3));
    assertThat(ServerSubset.sizeFor(370, 60), is(3));
    assertThat("eight nodes a server", ServerSubset.sizeFor(30, 12), is(4));
  }

  @Test
  void aServiceWithoutServersHasAnEmptySubset() {
    ServerSubset none = ServerSubset.of(new Member("n", "z"), List.of(), List.of());
    assertThat(none.forLoad(20, 3).candidates(server -> false), hasSize(0));
  }

  @Test
  void serversWithMoreSlotsHaveMoreNodes() {
    Random random = new Random(1);
    List<Member> nodes = SubsetFixture.nodes(80, false, random);
    List<ServerEntry> servers = new ArrayList<>(SubsetFixture.servers(11, false, random));
    ServerEntry large =
        new ServerEntry(ServerIncarnation.of("large"), "s", "l:1", "z0", 12, true, Map.of());
    servers.add(large);
    long nodesOfLarge =
        nodes.stream()
            .filter(node -> chosen(ServerSubset.of(node, nodes, servers)).contains(large))
            .count();
    long share = 2 * 80 * 3 / 13 + 1;
    assertThat(nodesOfLarge, greaterThanOrEqualTo(share * 3 / 4));
    assertThat(nodesOfLarge, lessThanOrEqualTo(share));
  }

  @Test
  void aRemovedServerIsReplacedAndOthersMostlyStay() {
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      List<Member> nodes = SubsetFixture.nodes(80, true, random);
      List<ServerEntry> servers = SubsetFixture.servers(12, true, random);
      ServerEntry gone = servers.get(random.nextInt(12));
      List<ServerEntry> left = new ArrayList<>(servers);
      left.remove(gone);
      Map<String, List<ServerEntry>> before = SubsetAlgorithm.BOUNDED.subsets(nodes, servers);
      Map<String, List<ServerEntry>> after = SubsetAlgorithm.BOUNDED.subsets(nodes, left);
      after.values().forEach(subset -> assertThat(subset, not(hasItem(gone))));
      after.values().forEach(subset -> assertThat(subset, hasSize(3)));
      assertThat(SubsetFixture.fractionChanged(before, after), lessThan(0.25));
    }
  }

  /** A rolling restart of half of a fleet. */
  @Test
  void firstChoicesMostlyStayWhileNodesComeAndGoAndRemainSpread() {
    for (int seed = 0; seed < 5; seed++) {
      Random random = new Random(seed);
      List<Member> all = SubsetFixture.nodes(80, true, random);
      List<ServerEntry> servers = SubsetFixture.servers(12, false, random);
      Map<Member, ServerSubset> subsets = new HashMap<>();
      int changes = 0;
      for (int restart = 0; restart < 40; restart++) {
        List<Member> fewer = new ArrayList<>(all);
        subsets.remove(fewer.remove(random.nextInt(fewer.size())));
        changes += reform(subsets, fewer, servers) + reform(subsets, all, servers);
      }
      Map<String, List<ServerEntry>> first = new HashMap<>();
      subsets.forEach((node, subset) -> first.put(node.name(), chosen(subset)));
      assertThat("of 6,400", changes, lessThan(160));
      assertThat(SubsetFixture.maxOverMean(first, servers, 1), lessThanOrEqualTo(1.35));
    }
  }

  /** Recomputes the subset of each node; returns the number of first choices that changed. */
  private static int reform(
      Map<Member, ServerSubset> subsets, List<Member> nodes, List<ServerEntry> servers) {
    int changes = 0;
    for (Member node : nodes) {
      ServerSubset formed = ServerSubset.of(node, nodes, servers);
      ServerSubset before = subsets.getOrDefault(node, formed);
      ServerSubset after = formed.withFirstChoiceOf(before);
      subsets.put(node, after);
      changes += after.byPreference().get(0).equals(before.byPreference().get(0)) ? 0 : 1;
    }
    return changes;
  }

  @Test
  void aFirstChoiceThatIsNotInTheSubsetAnyMoreIsNotKept() {
    Random random = new Random(6);
    List<Member> nodes = SubsetFixture.nodes(80, false, random);
    List<ServerEntry> servers = SubsetFixture.servers(12, false, random);
    ServerSubset subset = ServerSubset.of(nodes.get(0), nodes, servers);
    ServerEntry outside = subset.byPreference().get(5);
    assertThat(subset.withFirstChoiceOf(new ServerSubset(List.of(outside), 1)), equalTo(subset));
    ServerEntry third = subset.byPreference().get(2);
    ServerSubset kept = subset.withFirstChoiceOf(new ServerSubset(List.of(third), 1));
    assertThat(kept.byPreference().get(0), equalTo(third));
    assertThat(new HashSet<>(chosen(kept)), equalTo(new HashSet<>(chosen(subset))));
  }

  @Test
  void nodesThatSeeSlightlyDifferentFleetsStillSpreadWell() {
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      List<Member> nodes = SubsetFixture.nodes(80, true, random);
      List<ServerEntry> servers = SubsetFixture.servers(12, false, random);
      Map<String, List<ServerEntry>> subsets = new HashMap<>();
      for (Member node : nodes) {
        List<Member> seen = new ArrayList<>(nodes);
        seen.removeIf(other -> random.nextInt(25) == 0);
        subsets.put(node.name(), chosen(ServerSubset.of(node, seen, servers)));
      }
      assertThat(SubsetFixture.maxOverMean(subsets, servers, 3), lessThanOrEqualTo(1.3));
    }
  }

  @Test
  void aSubsetIsLeftOnlyWhileNoneOfItsServersIsGoodAndThenForAll() {
    Random random = new Random(3);
    List<Member> nodes = SubsetFixture.nodes(80, false, random);
    List<ServerEntry> servers = SubsetFixture.servers(12, false, random);
    ServerSubset subset = ServerSubset.of(nodes.get(0), nodes, servers);
    ServerEntry last = chosen(subset).get(2);
    assertThat(subset.candidates(server -> true), hasSize(3));
    assertThat(subset.candidates(server -> server.equals(last)), hasSize(3));
    assertThat(
        subset.candidates(server -> !chosen(subset).contains(server)),
        equalTo(subset.byPreference()));
  }

  @Test
  void aNodeWithManyRequestsRotatesOverMoreServersAndOneWithFewKeepsItsFirst() {
    Random random = new Random(4);
    List<Member> nodes = SubsetFixture.nodes(80, false, random);
    List<ServerEntry> servers = SubsetFixture.servers(12, false, random);
    ServerSubset subset = ServerSubset.of(nodes.get(0), nodes, servers);
    for (int requestsSent = 0; requestsSent < 20; requestsSent++) {
      assertThat("18 slots for 4", subset.forLoad(4, requestsSent), equalTo(subset));
    }
    assertThat(subset.forLoad(8, 0).size(), is(6));
    assertThat(subset.forLoad(16, 0).size(), is(11));
    assertThat(subset.forLoad(100, 0).size(), is(12));
    HashSet<ServerEntry> first = new HashSet<>();
    for (int requestsSent = 0; requestsSent < 11; requestsSent++) {
      first.add(subset.forLoad(16, requestsSent).byPreference().get(0));
    }
    assertThat(first, hasSize(11));
  }

  @Test
  void aPeakIsKeptBetweenTwoBurstsAndThenExpires() {
    PeakConcurrency concurrency = new PeakConcurrency();
    assertThat(concurrency.update(12, 0), is(12));
    assertThat(concurrency.update(1, 5_000), is(12));
    assertThat(concurrency.update(12, 6_000), is(12));
    assertThat(concurrency.update(1, 15_000), is(12));
    assertThat(concurrency.update(1, 16_001), is(1));
  }
}
