package org.passhaven.core.backend;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.passhaven.core.placement.Member;
import org.passhaven.core.placement.Rendezvous;

/** Algorithms that give each node a subset of servers: published ones, and the one in use. */
enum SubsetWays {
  /** Rendezvous hashing, without bounded loads. */
  RENDEZVOUS,
  /**
   * Deterministic subsetting: rounds of nodes, each over the servers in a shuffled order of its
   * own.
   */
  SHUFFLED_ROUNDS,
  /** Nodes at equal distances on a ring of servers, each with the servers that follow. */
  RING,
  /** Rendezvous hashing with bounded loads, in rounds: the algorithm in use. */
  BOUNDED;

  /** The subset of each node, by its name. */
  Map<String, List<ServerEntry>> subsets(List<Member> nodes, List<ServerEntry> servers) {
    Map<String, List<ServerEntry>> subsets = new HashMap<>();
    int size = ServerSubset.sizeFor(nodes.size(), servers.size());
    for (int place = 0; place < nodes.size(); place++) {
      subsets.put(nodes.get(place).name(), subset(nodes, place, servers, size));
    }
    return subsets;
  }

  private List<ServerEntry> subset(
      List<Member> nodes, int place, List<ServerEntry> servers, int size) {
    return switch (this) {
      case RENDEZVOUS -> heaviest(nodes.get(place), servers, size);
      case SHUFFLED_ROUNDS -> ofRound(place, servers, size);
      case RING -> ofRing(place * servers.size() / nodes.size(), servers, size);
      case BOUNDED -> {
        ServerSubset subset = ServerSubset.of(nodes.get(place), nodes, servers);
        yield subset.byPreference().subList(0, subset.size());
      }
    };
  }

  private static List<ServerEntry> heaviest(Member node, List<ServerEntry> servers, int size) {
    return servers.stream()
        .sorted(
            Comparator.comparingLong(server -> Rendezvous.weight(node.name(), server.start().id())))
        .limit(size)
        .toList();
  }

  private static List<ServerEntry> ofRound(int place, List<ServerEntry> servers, int size) {
    int nodesARound = servers.size() / size;
    List<ServerEntry> shuffled = new ArrayList<>(servers);
    Collections.shuffle(shuffled, new Random(place / nodesARound));
    int from = place % nodesARound * size;
    return shuffled.subList(from, from + size);
  }

  private static List<ServerEntry> ofRing(int from, List<ServerEntry> servers, int size) {
    List<ServerEntry> own = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      own.add(servers.get((from + i) % servers.size()));
    }
    return own;
  }
}
