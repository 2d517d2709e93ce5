package org.passhaven.core.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.passhaven.core.placement.Member;

/** Guards against uneven or unstable subsets, by comparison with other subsetting algorithms. */
class SubsetAlgorithmTest {
  private static final int[] FLEETS = {5, 12, 30, 80, 370};
  private static final int SERVERS = 12;
  private static final int SEEDS = 20;

  private record Figures(
      double spread, double firstSpread, double near, double afterNode, double afterServer) {
    Figures plus(Figures other) {
      return new Figures(
          Math.max(spread, other.spread),
          Math.max(firstSpread, other.firstSpread),
          near + other.near / SEEDS,
          afterNode + other.afterNode / SEEDS,
          afterServer + other.afterServer / SEEDS);
    }
  }

  private static Figures figures(
      SubsetAlgorithm algorithm, int fleet, boolean isUneven, long seed) {
    Random random = new Random(seed);
    List<Member> nodes = SubsetFixture.nodes(fleet, isUneven, random);
    List<ServerEntry> servers = SubsetFixture.servers(SERVERS, isUneven, random);
    Map<String, List<ServerEntry>> subsets = algorithm.subsets(nodes, servers);
    List<Member> fewer = new ArrayList<>(nodes);
    fewer.remove(random.nextInt(fewer.size()));
    List<ServerEntry> fewerServers = new ArrayList<>(servers);
    fewerServers.remove(random.nextInt(SERVERS));
    return new Figures(
        SubsetFixture.maxOverMean(subsets, servers, SERVERS),
        SubsetFixture.maxOverMean(subsets, servers, 1),
        SubsetFixture.fractionInOwnZone(nodes, subsets),
        SubsetFixture.fractionChanged(subsets, algorithm.subsets(fewer, servers)),
        SubsetFixture.fractionChanged(subsets, algorithm.subsets(nodes, fewerServers)));
  }

  private static Figures figures(SubsetAlgorithm algorithm, int fleet, boolean isUneven) {
    Figures all = new Figures(0, 0, 0, 0, 0);
    for (int seed = 0; seed < SEEDS; seed++) {
      all = all.plus(figures(algorithm, fleet, isUneven, seed));
    }
    System.out.printf(
        Locale.ROOT,
        "%-15s %3d nodes%s: size %2d, max/mean %.2f, of first choices %.2f, near %.2f,"
            + " changed by a node %.3f, by a server %.3f%n",
        algorithm,
        fleet,
        isUneven ? " uneven" : "       ",
        ServerSubset.sizeFor(fleet, SERVERS),
        all.spread,
        all.firstSpread,
        all.near,
        all.afterNode,
        all.afterServer);
    return all;
  }

  @Test
  void theWayInUseSpreadsBestAndIsAboutAsStableAsRendezvousAlone() {
    Map<Integer, Map<SubsetAlgorithm, Figures>> uneven = new HashMap<>();
    for (int fleet : FLEETS) {
      uneven.put(fleet, new EnumMap<>(SubsetAlgorithm.class));
      for (SubsetAlgorithm algorithm : SubsetAlgorithm.values()) {
        figures(algorithm, fleet, false);
        uneven.get(fleet).put(algorithm, figures(algorithm, fleet, true));
      }
    }
    for (int fleet : new int[] {30, 80, 370}) {
      Figures bounded = uneven.get(fleet).get(SubsetAlgorithm.BOUNDED);
      Figures rendezvous = uneven.get(fleet).get(SubsetAlgorithm.RENDEZVOUS);
      Figures rounds = uneven.get(fleet).get(SubsetAlgorithm.SHUFFLED_ROUNDS);
      assertThat("spread of " + fleet, bounded.spread, lessThan(1.2));
      assertThat("first choices of " + fleet, bounded.firstSpread, lessThan(1.21));
      assertThat("spread of " + fleet, bounded.spread, lessThan(rendezvous.spread));
      assertThat("a node of " + fleet, bounded.afterNode, lessThan(rounds.afterNode));
      assertThat("a server of " + fleet, bounded.afterServer, lessThan(rounds.afterServer));
    }
  }
}
