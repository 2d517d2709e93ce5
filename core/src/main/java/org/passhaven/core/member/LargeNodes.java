package org.passhaven.core.member;

import java.util.Collection;
import java.util.Comparator;
import org.passhaven.protocol.member.MemberBeat;

/**
 * The nodes with the most CPU in a fleet of unequal machines. Work that one node does for many
 * (running jobs, ordering weight loads, serving the callers of a zone) goes to these first: small
 * machines start more slowly and take longer to take over from a lost node. In a fleet of equal
 * machines all nodes are large.
 *
 * @param minCores minimum number of CPU cores of a large node
 */
record LargeNodes(double minCores) {
  /** Minimum number of large nodes, so that a few large machines don't get all the work. */
  private static final int MIN_LARGE_NODES = 6;

  /** Returns the nodes with at least as much CPU as the sixth largest. */
  static LargeNodes among(Collection<MemberBeat> heartbeats) {
    double minCores =
        heartbeats.stream()
            .map(MemberBeat::cores)
            .sorted(Comparator.reverseOrder())
            .skip(MIN_LARGE_NODES - 1)
            .findFirst()
            .orElse(0.0);
    return new LargeNodes(minCores);
  }

  /** Returns whether a node is large. */
  boolean contains(MemberBeat heartbeat) {
    return heartbeat.cores() >= minCores;
  }

  /** Returns an ordering with large nodes first. */
  Comparator<MemberBeat> largeFirst() {
    return Comparator.comparing(heartbeat -> !contains(heartbeat));
  }
}
