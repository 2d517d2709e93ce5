package org.passhaven.protocol;

import java.util.Objects;

/**
 * What one node says of itself, or is said of it.
 *
 * @param node the node
 * @param address host and port of its peer interface
 * @param zone its zone
 * @param incarnation its start; a higher one replaces all that is known of a lower one
 * @param heartbeat grows while the node lives; the higher statement wins
 * @param status what is believed of it
 * @param revision configuration revision in force at it
 */
public record MemberState(
    NodeId node,
    String address,
    String zone,
    long incarnation,
    long heartbeat,
    Status status,
    long revision) {
  public MemberState {
    Objects.requireNonNull(node, "node");
    Objects.requireNonNull(status, "status");
  }

  /** Belief about a member, in rising order of precedence at one heartbeat. */
  public enum Status {
    ALIVE,
    SUSPECT,
    LEAVING,
    DEAD
  }

  /** The same member under another belief. */
  public MemberState withStatus(Status newStatus) {
    return new MemberState(node, address, zone, incarnation, heartbeat, newStatus, revision);
  }
}
