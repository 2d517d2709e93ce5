package org.passhaven.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.openhft.hashing.LongHashFunction;

/**
 * Rendezvous (highest random weight) placement: each member has a weight for each key, and the key
 * goes to the heaviest. A member that leaves moves only its own keys.
 */
public final class Rendezvous {
  private static final LongHashFunction HASH = LongHashFunction.xx3();

  private Rendezvous() {}

  /** Members by falling weight for {@code key}; at most {@code count} of them. */
  public static List<Member> rank(String key, Collection<Member> members, int count) {
    return ranked(key, members).stream().limit(count).map(Weighted::member).toList();
  }

  /**
   * Members for replicas of {@code key}: by falling weight, but each zone once before any zone
   * twice, so that the loss of a zone takes one of the first candidates only. The idea of selecting
   * zones before nodes is that of the network-map placement paper; docs/DESIGN.md gives the
   * measurement.
   */
  public static List<Member> rankAcrossZones(String key, Collection<Member> members, int count) {
    List<Weighted> remaining = new ArrayList<>(ranked(key, members));
    List<Member> chosen = new ArrayList<>();
    Set<String> usedZones = new HashSet<>();
    while (chosen.size() < count && !remaining.isEmpty()) {
      int next = firstOutside(remaining, usedZones);
      if (next < 0) {
        usedZones.clear();
        next = 0;
      }
      Member member = remaining.remove(next).member();
      usedZones.add(member.zone());
      chosen.add(member);
    }
    return chosen;
  }

  /** Weight of one member for a key, as an unsigned number. */
  public static long weight(String key, String member) {
    return HASH.hashLong(HASH.hashChars(key) ^ Long.rotateLeft(HASH.hashChars(member), 1));
  }

  private static int firstOutside(List<Weighted> members, Set<String> zones) {
    for (int i = 0; i < members.size(); i++) {
      if (!zones.contains(members.get(i).member().zone())) {
        return i;
      }
    }
    return -1;
  }

  private static List<Weighted> ranked(String key, Collection<Member> members) {
    return members.stream()
        .map(member -> new Weighted(member, weight(key, member.name())))
        .sorted(
            Comparator.comparing(Weighted::weight, Long::compareUnsigned)
                .reversed()
                .thenComparing(weighted -> weighted.member().name()))
        .toList();
  }

  private record Weighted(Member member, long weight) {}
}
