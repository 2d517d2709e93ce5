package org.passhaven.core.backend;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.passhaven.core.placement.Member;
import org.passhaven.core.placement.Rendezvous;
import org.passhaven.core.topology.Topology;

/**
 * The subset of a service's servers that one node sends to. Subsets are small, so that connections
 * are reused and each server has few of them, and they spread the nodes evenly over the servers.
 * They depend only on the nodes and servers, so all nodes with the same view compute the same
 * subsets.
 *
 * @param byPreference all servers: those in the subset in order of preference, then those outside
 *     it, near ones first
 * @param size number of servers in the subset
 */
public record ServerSubset(List<ServerEntry> byPreference, int size) {
  /** Minimum subset size: with three servers, one is left if one is slow and one is lost. */
  static final int MIN_SERVERS = 3;

  /**
   * Minimum number of nodes that share a server. Callers load the nodes unevenly, which averages
   * out only over several nodes.
   */
  static final int MIN_NODES_PER_SERVER = 8;

  /** Slots in the subset for each request in progress; the rest is for other nodes. */
  static final int SLOTS_PER_REQUEST = 4;

  public ServerSubset {
    byPreference = List.copyOf(byPreference);
    if (size < 0 || size > byPreference.size()) {
      throw new IllegalArgumentException(
          "subset size "
              + size
              + " must be from 0 to "
              + byPreference.size()
              + " (number of servers)");
    }
  }

  /**
   * Computes the subset of one node in a deployment with a single region.
   *
   * @param nodes live nodes; {@code self} is added if missing
   * @param servers servers of one service that accept new requests
   */
  public static ServerSubset of(
      Member self, Collection<Member> nodes, Collection<ServerEntry> servers) {
    return of(self, nodes, servers, Topology.ofZone(self.zone()), false);
  }

  /**
   * Computes the subset of one node.
   *
   * @param nodes live nodes; {@code self} is added if missing
   * @param servers servers of one service that accept new requests
   * @param spreadsOverZones whether a subset of several servers must have servers in at least two
   *     zones, if there are such
   */
  public static ServerSubset of(
      Member self,
      Collection<Member> nodes,
      Collection<ServerEntry> servers,
      Topology topology,
      boolean spreadsOverZones) {
    Objects.requireNonNull(self, "self");
    List<Member> all = new ArrayList<>(nodes);
    if (all.stream().noneMatch(node -> node.name().equals(self.name()))) {
      all.add(self);
    }
    int size = sizeFor(all.size(), servers.size());
    List<ServerEntry> ordered =
        new ArrayList<>(
            new SubsetRounds(all, servers, topology, spreadsOverZones).choose(self.name(), size));
    servers.stream()
        .filter(server -> !ordered.contains(server))
        .sorted(preferenceOrderOf(self, topology))
        .forEachOrdered(ordered::add);
    return new ServerSubset(ordered, size);
  }

  /** Returns whether two lists of servers, each ordered by id, result in the same subsets. */
  public static boolean haveSameSubsets(List<ServerEntry> servers, List<ServerEntry> others) {
    if (servers.size() != others.size()) {
      return false;
    }
    for (int i = 0; i < servers.size(); i++) {
      ServerEntry server = servers.get(i);
      ServerEntry other = others.get(i);
      boolean isSame =
          server.incarnation().equals(other.incarnation())
              && server.zone().equals(other.zone())
              && server.slots() == other.slots();
      if (!isSame) {
        return false;
      }
    }
    return true;
  }

  /** Returns this subset with each entry replaced by its newest version. */
  public ServerSubset withEntries(Collection<ServerEntry> newest) {
    Map<ServerIncarnation, ServerEntry> byIncarnation =
        newest.stream().collect(Collectors.toMap(ServerEntry::incarnation, Function.identity()));
    return new ServerSubset(
        byPreference.stream()
            .map(server -> byIncarnation.getOrDefault(server.incarnation(), server))
            .toList(),
        size);
  }

  /** Returns the size of each node's subset for the given numbers of nodes and servers. */
  static int sizeFor(int nodes, int servers) {
    int shared = (servers * MIN_NODES_PER_SERVER + nodes - 1) / Math.max(1, nodes);
    return Math.min(servers, Math.max(MIN_SERVERS, shared));
  }

  private static Comparator<ServerEntry> preferenceOrderOf(Member node, Topology topology) {
    return Comparator.comparing(
            (ServerEntry server) -> topology.between(node.zone(), server.zone()))
        .thenComparing(
            server -> Rendezvous.weight(node.name(), server.incarnation().toString()),
            Comparator.reverseOrder())
        .thenComparing(ServerEntry::incarnation);
  }

  /**
   * Returns this subset with the first choice of an earlier subset moved to the front, if it is
   * still a member. This keeps the connection to the first choice in use when only nodes have
   * changed.
   */
  public ServerSubset withFirstChoiceOf(ServerSubset earlier) {
    if (earlier.byPreference.isEmpty()) {
      return this;
    }
    List<ServerIncarnation> incarnations =
        byPreference.stream().map(ServerEntry::incarnation).toList();
    int index = incarnations.indexOf(earlier.byPreference.get(0).incarnation());
    if (index < 0 || index >= size) {
      return this;
    }
    List<ServerEntry> kept = new ArrayList<>(byPreference);
    kept.add(0, kept.remove(index));
    return new ServerSubset(kept, size);
  }

  /**
   * Returns this subset adapted to the load of the node: extended to enough servers for its
   * requests and rotated to use them evenly. A node with few requests keeps its first choice and so
   * reuses one connection.
   *
   * @param inProgress recent peak of requests in progress at the node
   * @param requestsSent number of requests sent by the node so far; selects the rotation
   */
  public ServerSubset forLoad(int inProgress, int requestsSent) {
    long needed = (long) inProgress * SLOTS_PER_REQUEST;
    int neededServers = serversForSlots(needed);
    if (neededServers <= MIN_SERVERS) {
      return this;
    }
    int used = Math.max(size, neededServers);
    List<ServerEntry> rotated = new ArrayList<>(byPreference);
    Collections.rotate(rotated.subList(0, used), -Math.floorMod(requestsSent, used));
    return new ServerSubset(rotated, used);
  }

  /**
   * Returns the minimum number of servers, in order of preference, that have the needed slots in
   * total; all servers if there are too few.
   */
  private int serversForSlots(long needed) {
    long slots = 0;
    int servers = 0;
    while (slots < needed && servers < byPreference.size()) {
      slots += Math.max(1, byPreference.get(servers).slots());
      servers++;
    }
    return servers;
  }

  /**
   * Returns the servers to choose from: the subset if any of its servers is good, otherwise all
   * servers, so that the subset never causes a refusal.
   *
   * @param isGood whether a server is healthy and has a free slot according to current knowledge
   */
  public List<ServerEntry> candidates(Predicate<ServerEntry> isGood) {
    List<ServerEntry> servers = byPreference.subList(0, size);
    return servers.stream().anyMatch(isGood) ? servers : byPreference;
  }

  /**
   * Returns the servers to choose from, the first of these that apply: the subset's servers in the
   * own region if one is good; all of the own region if one is usable; the subset's servers in
   * other regions if one is good; all of other regions if one is usable; otherwise all.
   *
   * @param isGood whether a server is healthy and has a free slot; a good server must be usable
   * @param isInRegion whether a server is in the own region
   * @param isUsable whether a server can take the request now, even if it is a poor choice
   */
  public List<ServerEntry> candidates(
      Predicate<ServerEntry> isGood,
      Predicate<ServerEntry> isInRegion,
      Predicate<ServerEntry> isUsable) {
    List<ServerEntry> members = byPreference.subList(0, size);
    List<ServerEntry> ownMembers = members.stream().filter(isInRegion).toList();
    if (ownMembers.stream().anyMatch(isGood)) {
      return ownMembers;
    }
    List<ServerEntry> own = byPreference.stream().filter(isInRegion).toList();
    if (own.stream().anyMatch(isUsable)) {
      return own;
    }
    List<ServerEntry> otherMembers = members.stream().filter(isInRegion.negate()).toList();
    if (otherMembers.stream().anyMatch(isGood)) {
      return otherMembers;
    }
    List<ServerEntry> others = byPreference.stream().filter(isInRegion.negate()).toList();
    return others.stream().anyMatch(isUsable) ? others : byPreference;
  }

  /** Returns whether some servers are outside the subset. */
  public boolean isPartial() {
    return size < byPreference.size();
  }

  /** Returns whether a server is in the subset. */
  public boolean contains(ServerIncarnation incarnation) {
    return byPreference.subList(0, size).stream()
        .anyMatch(server -> server.incarnation().equals(incarnation));
  }
}
