package org.passhaven.core.placement;

import java.util.Collection;
import java.util.List;

/**
 * Divides members among a fixed number of partitions by rendezvous hashing: each member belongs to
 * the partition with the highest weight, so adding or removing a member moves no other member.
 */
public final class Partition {
  private Partition() {}

  /** Returns the members of one partition, ordered by name. */
  public static List<Member> membersOf(int partition, int partitions, Collection<Member> members) {
    return members.stream()
        .filter(member -> partitionOf(member, partitions) == partition)
        .sorted(java.util.Comparator.comparing(Member::name))
        .toList();
  }

  /** Returns the partition that a member belongs to. */
  public static int partitionOf(Member member, int partitions) {
    int chosen = 0;
    long weight = 0;
    for (int partition = 0; partition < partitions; partition++) {
      long candidate = Rendezvous.weight(member.name(), Integer.toString(partition));
      if (partition == 0 || Long.compareUnsigned(candidate, weight) > 0) {
        chosen = partition;
        weight = candidate;
      }
    }
    return chosen;
  }
}
