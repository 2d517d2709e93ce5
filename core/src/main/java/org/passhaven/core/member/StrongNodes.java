package org.passhaven.core.member;

import java.util.Collection;
import java.util.Comparator;
import org.passhaven.protocol.member.MemberBeat;

/**
 * The nodes with most processor in a fleet of unequal machines. Work that one node does for many
 * (run jobs, order weights, serve the callers of a zone) goes to these first: a small machine
 * starts later, and takes over from a lost node more slowly. In a fleet of equal machines all nodes
 * are strong. Pure.
 *
 * @param minCores processor, in cores, from which a node is strong
 */
record StrongNodes(double minCores) {
  /** Fewest strong nodes: a few large machines must not get all the work. */
  private static final int MIN_STRONG_NODES = 6;

  /** The strong nodes are those with no less processor than the sixth strongest has. */
  static StrongNodes among(Collection<MemberBeat> beats) {
    double minCores =
        beats.stream()
            .map(MemberBeat::cores)
            .sorted(Comparator.reverseOrder())
            .skip(MIN_STRONG_NODES - 1)
            .findFirst()
            .orElse(0.0);
    return new StrongNodes(minCores);
  }

  /** Whether a node is strong. */
  boolean contains(MemberBeat beat) {
    return beat.cores() >= minCores;
  }

  /** An order with strong nodes first. */
  Comparator<MemberBeat> first() {
    return Comparator.comparing(beat -> !contains(beat));
  }
}
