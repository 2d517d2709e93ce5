package org.passhaven.core.backend;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.passhaven.core.placement.Member;
import org.passhaven.core.placement.Rendezvous;

/**
 * Computes the subsets of all nodes by rendezvous hashing with bounded loads. In each round every
 * node chooses one more server among those below their share of nodes: near ones first, then by
 * rendezvous weight. First choices are therefore spread as evenly as whole subsets, and a node or
 * server that leaves changes few other subsets.
 */
final class SubsetRounds {
  /**
   * Hash key for the order in which nodes choose; ordering by name would group nodes of one rack.
   */
  private static final String NODE_ORDER_KEY = "subset";

  private final List<Member> nodes;
  private final List<ServerEntry> servers;
  private final long[][] weights;
  private final boolean[][] chosen;
  private final int[] nodesOfServer;
  private final int[] maxNodesOfServer;
  private final long totalSlots;

  SubsetRounds(Collection<Member> nodes, Collection<ServerEntry> servers) {
    this.nodes =
        nodes.stream()
            .sorted(
                Comparator.comparingLong(
                        (Member node) -> Rendezvous.weight(NODE_ORDER_KEY, node.name()))
                    .thenComparing(Member::name))
            .toList();
    this.servers = servers.stream().sorted(Comparator.comparing(ServerEntry::incarnation)).toList();
    this.weights = new long[this.nodes.size()][servers.size()];
    this.chosen = new boolean[this.nodes.size()][servers.size()];
    this.nodesOfServer = new int[servers.size()];
    this.maxNodesOfServer = new int[servers.size()];
    this.totalSlots = servers.stream().mapToLong(SubsetRounds::slotsOf).sum();
    computeWeights();
  }

  private void computeWeights() {
    List<String> names = servers.stream().map(server -> server.incarnation().toString()).toList();
    for (int node = 0; node < nodes.size(); node++) {
      for (int server = 0; server < names.size(); server++) {
        weights[node][server] = Rendezvous.weight(nodes.get(node).name(), names.get(server));
      }
    }
  }

  private static int slotsOf(ServerEntry server) {
    return Math.max(1, server.slots());
  }

  /** Returns the subset of one node, in the order of its choices. */
  List<ServerEntry> choose(String self, int size) {
    ServerEntry[] own = new ServerEntry[size];
    for (int round = 0; round < size; round++) {
      setNodeLimits(round + 1);
      for (int position = 0; position < nodes.size(); position++) {
        // The order is reversed in every other round, so that no node always chooses last.
        int node = round % 2 == 0 ? position : nodes.size() - 1 - position;
        int server = chooseFor(node);
        if (nodes.get(node).name().equals(self)) {
          own[round] = servers.get(server);
        }
      }
    }
    return List.of(own);
  }

  /**
   * Sets the maximum number of nodes of each server after the given rounds, in proportion to its
   * slots.
   */
  private void setNodeLimits(int rounds) {
    long choices = (long) rounds * nodes.size();
    for (int server = 0; server < maxNodesOfServer.length; server++) {
      long share = choices * slotsOf(servers.get(server));
      maxNodesOfServer[server] = (int) ((share + totalSlots - 1) / totalSlots);
    }
  }

  private int chooseFor(int node) {
    int best = -1;
    for (int server = 0; server < servers.size(); server++) {
      if (!chosen[node][server] && (best < 0 || isBetter(node, server, best))) {
        best = server;
      }
    }
    chosen[node][best] = true;
    nodesOfServer[best]++;
    return best;
  }

  private boolean isBetter(int node, int server, int other) {
    if (excess(server) != excess(other)) {
      return excess(server) < excess(other);
    }
    if (isNear(node, server) != isNear(node, other)) {
      return isNear(node, server);
    }
    return weights[node][server] > weights[node][other];
  }

  /** Returns by how much one more node would exceed a server's share. */
  private int excess(int server) {
    return Math.max(0, nodesOfServer[server] + 1 - maxNodesOfServer[server]);
  }

  private boolean isNear(int node, int server) {
    return nodes.get(node).zone().equals(servers.get(server).zone());
  }
}
