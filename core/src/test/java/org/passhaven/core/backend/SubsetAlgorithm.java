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

/** Algorithms that assign each node a subset of servers: published ones and the production one. */
enum SubsetAlgorithm {
  /** Rendezvous hashing, without bounded loads. */
  RENDEZVOUS,
  /** Deterministic subsetting: each round of nodes splits its own shuffled order of the servers. */
  SHUFFLED_ROUNDS,
  /** Nodes at equal distances on a ring of servers; each node gets the servers that follow it. */
  RING,
  /** Rendezvous hashing with bounded loads, in rounds: the production algorithm. */
  BOUNDED;

  /** Returns the subset of each node by node name. */
  Map<String, List<ServerEntry>> subsets(List<Member> nodes, List<ServerEntry> servers) {
    Map<String, List<ServerEntry>> subsets = new HashMap<>();
    int size = ServerSubset.sizeFor(nodes.size(), servers.size());
    for (int nodeIndex = 0; nodeIndex < nodes.size(); nodeIndex++) {
      subsets.put(nodes.get(nodeIndex).name(), subset(nodes, nodeIndex, servers, size));
    }
    return subsets;
  }

  private List<ServerEntry> subset(
      List<Member> nodes, int nodeIndex, List<ServerEntry> servers, int size) {
    return switch (this) {
      case RENDEZVOUS -> heaviest(nodes.get(nodeIndex), servers, size);
      case SHUFFLED_ROUNDS -> ofRound(nodeIndex, servers, size);
      case RING -> ofRing(nodeIndex * servers.size() / nodes.size(), servers, size);
      case BOUNDED -> {
        ServerSubset subset = ServerSubset.of(nodes.get(nodeIndex), nodes, servers);
        yield subset.byPreference().subList(0, subset.size());
      }
    };
  }

  private static List<ServerEntry> heaviest(Member node, List<ServerEntry> servers, int size) {
    return servers.stream()
        .sorted(
            Comparator.comparingLong(
                server -> Rendezvous.weight(node.name(), server.incarnation().id())))
        .limit(size)
        .toList();
  }

  private static List<ServerEntry> ofRound(int nodeIndex, List<ServerEntry> servers, int size) {
    int nodesARound = servers.size() / size;
    List<ServerEntry> shuffled = new ArrayList<>(servers);
    Collections.shuffle(shuffled, new Random(nodeIndex / nodesARound));
    int from = nodeIndex % nodesARound * size;
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
