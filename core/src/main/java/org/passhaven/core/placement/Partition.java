package org.passhaven.core.placement;

import java.util.Collection;
import java.util.List;

/**
 * Splits members among a fixed number of parts: each member belongs to the part with the heaviest
 * weight for it, so a member that comes or goes changes its own part only.
 */
public final class Partition {
  private Partition() {}

  /** Members of one part, by name. */
  public static List<Member> membersOf(int part, int parts, Collection<Member> members) {
    return members.stream()
        .filter(member -> partOf(member, parts) == part)
        .sorted(java.util.Comparator.comparing(Member::name))
        .toList();
  }

  /** The part that a member belongs to. */
  public static int partOf(Member member, int parts) {
    int heaviest = 0;
    long weight = 0;
    for (int part = 0; part < parts; part++) {
      long candidate = Rendezvous.weight(member.name(), Integer.toString(part));
      if (part == 0 || Long.compareUnsigned(candidate, weight) > 0) {
        heaviest = part;
        weight = candidate;
      }
    }
    return heaviest;
  }
}
