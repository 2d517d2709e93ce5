package org.passhaven.core.backend;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.passhaven.core.placement.Member;

/** Random fleets and services, and metrics of their subsets. */
final class SubsetFixture {
  private static final int SLOTS = 6;

  private SubsetFixture() {}

  /**
   * Returns nodes in three zones; if uneven, half of them in the first zone and a sixth in the
   * last.
   */
  static List<Member> nodes(int count, boolean isUneven, Random random) {
    List<Member> nodes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      nodes.add(new Member("n" + random.nextInt(1 << 30), zone(i, count, isUneven)));
    }
    return nodes;
  }

  /** Returns servers in three zones; if uneven, half of them in the last zone. */
  static List<ServerEntry> servers(int count, boolean isUneven, Random random) {
    List<ServerEntry> servers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      servers.add(server("i-" + random.nextInt(1 << 30), zone(count - 1 - i, count, isUneven)));
    }
    return servers;
  }

  static ServerEntry server(String id, String zone) {
    return new ServerEntry(ServerIncarnation.of(id), "s", id + ":1", zone, SLOTS, true, Map.of());
  }

  private static String zone(int i, int count, boolean isUneven) {
    if (!isUneven) {
      return "z" + i % 3;
    }
    double at = (i + 0.5) / count;
    return at < 0.5 ? "z0" : at < 0.84 ? "z1" : "z2";
  }

  /**
   * Returns the maximum number of nodes of a server relative to the mean, over the first servers of
   * each subset.
   */
  static double maxOverMean(
      Map<String, List<ServerEntry>> subsets, List<ServerEntry> servers, int first) {
    Map<ServerIncarnation, Integer> nodesOf = new HashMap<>();
    int choices = 0;
    for (List<ServerEntry> subset : subsets.values()) {
      for (ServerEntry server : subset.subList(0, Math.min(first, subset.size()))) {
        nodesOf.merge(server.incarnation(), 1, Integer::sum);
        choices++;
      }
    }
    int most = nodesOf.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    return most * (double) servers.size() / choices;
  }

  /** Returns the fraction of choices that changed, over nodes present before and after. */
  static double fractionChanged(
      Map<String, List<ServerEntry>> before, Map<String, List<ServerEntry>> after) {
    int choices = 0;
    int changed = 0;
    for (Map.Entry<String, List<ServerEntry>> subset : before.entrySet()) {
      if (after.containsKey(subset.getKey())) {
        Set<ServerEntry> left = new HashSet<>(subset.getValue());
        choices += left.size();
        after.get(subset.getKey()).forEach(left::remove);
        changed += left.size();
      }
    }
    return changed / (double) Math.max(1, choices);
  }

  /** Returns the fraction of choices in the node's own zone. */
  static double fractionInOwnZone(List<Member> nodes, Map<String, List<ServerEntry>> subsets) {
    long near = 0;
    long all = 0;
    for (Member node : nodes) {
      List<ServerEntry> subset = subsets.get(node.name());
      near += subset.stream().filter(server -> server.zone().equals(node.zone())).count();
      all += subset.size();
    }
    return near / (double) all;
  }
}
