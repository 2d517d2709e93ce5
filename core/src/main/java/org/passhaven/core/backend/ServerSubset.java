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

/**
 * The servers of a service that a node sends to. Each node uses a few, so that its connections stay
 * in use and each server has few connections; each server is used by about as many nodes as any
 * other. The subsets are a function of the nodes and servers: all nodes that see the same ones
 * compute the same subsets.
 *
 * @param byPreference all servers: those of the subset, the preferred one first, then those outside
 *     it, near ones first
 * @param size how many of them are in the subset
 */
public record ServerSubset(List<ServerEntry> byPreference, int size) {
  /** Smallest subset: of three servers one remains good if one is slow and one is lost. */
  static final int MIN_SERVERS = 3;

  /**
   * Fewest nodes that share a server. Callers use some nodes more than others, which evens out only
   * among several nodes.
   */
  static final int MIN_NODES_PER_SERVER = 8;

  /** Places that a subset has for each request in progress: other nodes send to its servers too. */
  static final int PLACES_PER_REQUEST = 4;

  public ServerSubset {
    byPreference = List.copyOf(byPreference);
    if (size < 0 || size > byPreference.size()) {
      throw new IllegalArgumentException(
          "a subset of " + size + " among " + byPreference.size() + " servers");
    }
  }

  /**
   * The subset of one node.
   *
   * @param nodes live nodes; the node itself counts as one whether or not it is among them
   * @param servers servers of one service that take new work
   */
  public static ServerSubset of(
      Member self, Collection<Member> nodes, Collection<ServerEntry> servers) {
    Objects.requireNonNull(self, "self");
    List<Member> all = new ArrayList<>(nodes);
    if (all.stream().noneMatch(node -> node.name().equals(self.name()))) {
      all.add(self);
    }
    int size = sizeFor(all.size(), servers.size());
    List<ServerEntry> ordered =
        new ArrayList<>(new SubsetRounds(all, servers).choose(self.name(), size));
    servers.stream()
        .filter(server -> !ordered.contains(server))
        .sorted(preferenceOf(self))
        .forEachOrdered(ordered::add);
    return new ServerSubset(ordered, size);
  }

  /** Whether two lists of servers, each ordered by id, result in the same subsets. */
  public static boolean giveSameSubsets(List<ServerEntry> servers, List<ServerEntry> others) {
    if (servers.size() != others.size()) {
      return false;
    }
    for (int i = 0; i < servers.size(); i++) {
      ServerEntry server = servers.get(i);
      ServerEntry other = others.get(i);
      boolean isSame =
          server.start().equals(other.start())
              && server.zone().equals(other.zone())
              && server.slots() == other.slots();
      if (!isSame) {
        return false;
      }
    }
    return true;
  }

  /** The same servers with their newest entries. */
  public ServerSubset withEntries(Collection<ServerEntry> newest) {
    Map<ServerStart, ServerEntry> byStart =
        newest.stream().collect(Collectors.toMap(ServerEntry::start, Function.identity()));
    return new ServerSubset(
        byPreference.stream().map(server -> byStart.getOrDefault(server.start(), server)).toList(),
        size);
  }

  /** Size of each node's subset, given the numbers of nodes and servers. */
  static int sizeFor(int nodes, int servers) {
    int shared = (servers * MIN_NODES_PER_SERVER + nodes - 1) / Math.max(1, nodes);
    return Math.min(servers, Math.max(MIN_SERVERS, shared));
  }

  private static Comparator<ServerEntry> preferenceOf(Member node) {
    return Comparator.comparing((ServerEntry server) -> !server.zone().equals(node.zone()))
        .thenComparing(
            server -> Rendezvous.weight(node.name(), server.start().toString()),
            Comparator.reverseOrder())
        .thenComparing(ServerEntry::start);
  }

  /**
   * This subset with the first choice of an earlier one if that is still in it: when only nodes
   * have changed, the connection to the first choice stays in use.
   */
  public ServerSubset keepingFirstOf(ServerSubset earlier) {
    if (earlier.byPreference.isEmpty()) {
      return this;
    }
    List<ServerStart> starts = byPreference.stream().map(ServerEntry::start).toList();
    int place = starts.indexOf(earlier.byPreference.get(0).start());
    if (place < 0 || place >= size) {
      return this;
    }
    List<ServerEntry> kept = new ArrayList<>(byPreference);
    kept.add(0, kept.remove(place));
    return new ServerSubset(kept, size);
  }

  /**
   * This subset for a node with a given load: with as many servers as its requests need, and
   * rotated so that they are used evenly. A node with few requests keeps its first choice, so that
   * one connection stays in use.
   *
   * @param inProgress most requests that the node lately had in progress at once
   * @param turn requests that the node has sent so far; selects the rotation
   */
  public ServerSubset forUse(int inProgress, int turn) {
    long needed = (long) inProgress * PLACES_PER_REQUEST;
    int enough = serversWith(needed);
    if (enough <= MIN_SERVERS) {
      return this;
    }
    int used = Math.max(size, enough);
    List<ServerEntry> inTurn = new ArrayList<>(byPreference);
    Collections.rotate(inTurn.subList(0, used), -Math.floorMod(turn, used));
    return new ServerSubset(inTurn, used);
  }

  /**
   * Fewest servers, in order of preference, that together have the needed places; all if too few.
   */
  private int serversWith(long needed) {
    long places = 0;
    int servers = 0;
    while (places < needed && servers < byPreference.size()) {
      places += Math.max(1, byPreference.get(servers).slots());
      servers++;
    }
    return servers;
  }

  /**
   * Servers to choose from: those of the subset while any of them is good, else all. A request is
   * never refused or sent to a worse place because of the subset.
   *
   * @param isGood whether a server is healthy and has a place, as far as is known now
   */
  public List<ServerEntry> candidates(Predicate<ServerEntry> isGood) {
    List<ServerEntry> servers = byPreference.subList(0, size);
    return servers.stream().anyMatch(isGood) ? servers : byPreference;
  }

  /** Whether some servers are outside the subset. */
  public boolean isNarrowed() {
    return size < byPreference.size();
  }

  /** Whether a server is in the subset. */
  public boolean contains(ServerStart start) {
    return byPreference.subList(0, size).stream().anyMatch(server -> server.start().equals(start));
  }
}
