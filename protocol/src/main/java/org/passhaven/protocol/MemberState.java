package org.passhaven.protocol;

import java.util.Objects;

/**
 * Membership state of one node, as reported by itself or by others.
 *
 * @param node the node
 * @param address host and port of the peer interface
 * @param zone availability zone
 * @param incarnation incarnation of the node; a higher one replaces all state of a lower one
 * @param heartbeat counter that grows while the node is alive; the state with the higher one wins
 * @param status liveness of the node
 * @param revision configuration revision that the node uses
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

  /** Liveness of a member, in ascending order of precedence for states with the same heartbeat. */
  public enum Status {
    ALIVE,
    SUSPECT,
    LEAVING,
    DEAD
  }

  /** Returns this state with another status. */
  public MemberState withStatus(Status newStatus) {
    return new MemberState(node, address, zone, incarnation, heartbeat, newStatus, revision);
  }
}
