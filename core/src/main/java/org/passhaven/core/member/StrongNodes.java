package org.passhaven.core.member;

import java.util.Collection;
import java.util.Comparator;
import org.passhaven.protocol.member.MemberBeat;

/**
 * Tells nodes with much processor from the others in a fleet of unlike machines. What one node does
 * for many (run jobs, order weights, serve the callers of a zone) goes to these first: a small
 * machine takes a second longer to start, and reads what a lost node left as much slower. In a
 * fleet of equal machines all nodes are strong. Pure.
 *
 * @param leastCores processor from which on a node is strong
 */
record StrongNodes(double leastCores) {
  /** So many nodes share the work at least: a few large machines must not draw all of it. */
  private static final int FEWEST = 6;

  /** The strong nodes are those with no less processor than the sixth strongest has. */
  static StrongNodes among(Collection<MemberBeat> beats) {
    double leastCores =
        beats.stream()
            .map(MemberBeat::cores)
            .sorted(Comparator.reverseOrder())
            .skip(FEWEST - 1)
            .findFirst()
            .orElse(0.0);
    return new StrongNodes(leastCores);
  }

  /** Whether a node is strong. */
  boolean contains(MemberBeat beat) {
    return beat.cores() >= leastCores;
  }

  /** An order with strong nodes first. */
  Comparator<MemberBeat> first() {
    return Comparator.comparing(beat -> !contains(beat));
  }
}
