package org.passhaven.core.backend;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.passhaven.core.placement.Member;
import org.passhaven.core.placement.Rendezvous;
import org.passhaven.core.topology.Topology;

/**
 * Computes the subsets of all nodes by rendezvous hashing with bounded loads. In each round every
 * node chooses one more server of its region, or of others once it has all of them, among those
 * below their share of nodes: near ones first, then by rendezvous weight. A share is that of the
 * nodes of the server's region and of the regions without servers. First choices are therefore
 * spread as evenly as whole subsets, and a node or server that leaves changes few other subsets.
 */
final class SubsetRounds {
  /**
   * Hash key for the order in which nodes choose; ordering by name would group nodes of one rack.
   */
  private static final String NODE_ORDER_KEY = "subset";

  /** Stands for no zone; zones are indices. */
  private static final int NO_ZONE = -1;

  private final List<Member> nodes;
  private final List<ServerEntry> servers;
  private final long[][] weights;
  private final boolean[][] chosen;
  private final int[] nodesOfServer;
  private final int[] maxNodesOfServer;
  private final int[] zoneOfNode;
  private final int[] zoneOfServer;
  private final int[] regionOfNode;
  private final int[] regionOfServer;
  private final long[] slotsOfRegion;
  private final long[] nodesServedByRegion;
  private final boolean spreadsOverZones;

  /**
   * Creates the rounds.
   *
   * @param spreadsOverZones whether a node whose choices so far all lie in one zone makes its last
   *     choice in another
   */
  SubsetRounds(
      Collection<Member> nodes,
      Collection<ServerEntry> servers,
      Topology topology,
      boolean spreadsOverZones) {
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
    this.spreadsOverZones = spreadsOverZones;
    List<String> zones =
        Stream.concat(
                this.nodes.stream().map(Member::zone), this.servers.stream().map(ServerEntry::zone))
            .distinct()
            .toList();
    List<String> regions = zones.stream().map(topology::regionOf).distinct().toList();
    this.zoneOfNode = this.nodes.stream().mapToInt(node -> zones.indexOf(node.zone())).toArray();
    this.zoneOfServer =
        this.servers.stream().mapToInt(server -> zones.indexOf(server.zone())).toArray();
    int[] regionOfZone =
        zones.stream().mapToInt(zone -> regions.indexOf(topology.regionOf(zone))).toArray();
    this.regionOfNode = IntStream.of(zoneOfNode).map(zone -> regionOfZone[zone]).toArray();
    this.regionOfServer = IntStream.of(zoneOfServer).map(zone -> regionOfZone[zone]).toArray();
    this.slotsOfRegion = new long[regions.size()];
    this.nodesServedByRegion = new long[regions.size()];
    countRegions();
    computeWeights();
  }

  private void countRegions() {
    for (int server = 0; server < regionOfServer.length; server++) {
      slotsOfRegion[regionOfServer[server]] += slotsOf(servers.get(server));
    }
    for (int region : regionOfNode) {
      for (int serving = 0; serving < nodesServedByRegion.length; serving++) {
        // The nodes of a region without servers are served by all others.
        boolean hasServers = slotsOfRegion[region] > 0;
        nodesServedByRegion[serving] += serving == region || !hasServers ? 1 : 0;
      }
    }
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
        boolean isLast = round > 0 && round == size - 1;
        int server = chooseFor(node, spreadsOverZones && isLast ? onlyZoneOf(node) : NO_ZONE);
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
    for (int server = 0; server < maxNodesOfServer.length; server++) {
      int region = regionOfServer[server];
      long share = rounds * nodesServedByRegion[region] * slotsOf(servers.get(server));
      maxNodesOfServer[server] =
          (int) ((share + slotsOfRegion[region] - 1) / slotsOfRegion[region]);
    }
  }

  /** Returns the zone of all servers that a node has chosen so far, if they have a single one. */
  private int onlyZoneOf(int node) {
    int zone = NO_ZONE;
    for (int server = 0; server < zoneOfServer.length; server++) {
      if (chosen[node][server]) {
        if (zone != NO_ZONE && zone != zoneOfServer[server]) {
          return NO_ZONE;
        }
        zone = zoneOfServer[server];
      }
    }
    return zone;
  }

  private int chooseFor(int node, int avoidedZone) {
    int best = -1;
    for (int server = 0; server < servers.size(); server++) {
      if (!chosen[node][server] && (best < 0 || isBetter(node, server, best, avoidedZone))) {
        best = server;
      }
    }
    chosen[node][best] = true;
    nodesOfServer[best]++;
    return best;
  }

  private boolean isBetter(int node, int server, int other, int avoidedZone) {
    boolean isAvoided = zoneOfServer[server] == avoidedZone;
    if (isAvoided != (zoneOfServer[other] == avoidedZone)) {
      return !isAvoided;
    }
    if (isInRegion(node, server) != isInRegion(node, other)) {
      return isInRegion(node, server);
    }
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

  private boolean isInRegion(int node, int server) {
    return regionOfNode[node] == regionOfServer[server];
  }

  private boolean isNear(int node, int server) {
    return zoneOfNode[node] == zoneOfServer[server];
  }
}
