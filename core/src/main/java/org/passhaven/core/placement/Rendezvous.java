package org.passhaven.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.openhft.hashing.LongHashFunction;

/**
 * Rendezvous (highest random weight) hashing: each key is placed on the member with the highest
 * weight for it. Removing a member moves only its own keys.
 */
public final class Rendezvous {
  private static final LongHashFunction HASH = LongHashFunction.xx3();

  private Rendezvous() {}

  /** Returns up to {@code count} members in descending order of weight for {@code key}. */
  public static List<Member> rank(String key, Collection<Member> members, int count) {
    return ranked(key, members).stream().limit(count).map(Weighted::member).toList();
  }

  /**
   * Returns up to {@code count} members for replicas of {@code key}, in descending order of weight
   * but with every zone used once before any zone is used again, so that the loss of a zone affects
   * only one of the first candidates.
   */
  public static List<Member> rankAcrossZones(String key, Collection<Member> members, int count) {
    List<Weighted> remaining = new ArrayList<>(ranked(key, members));
    List<Member> chosen = new ArrayList<>();
    Set<String> usedZones = new HashSet<>();
    while (chosen.size() < count && !remaining.isEmpty()) {
      int next = firstOutsideZones(remaining, usedZones);
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

  /** Returns the weight of a member for a key, as an unsigned number. */
  public static long weight(String key, String member) {
    return HASH.hashLong(HASH.hashChars(key) ^ Long.rotateLeft(HASH.hashChars(member), 1));
  }

  private static int firstOutsideZones(List<Weighted> members, Set<String> zones) {
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
