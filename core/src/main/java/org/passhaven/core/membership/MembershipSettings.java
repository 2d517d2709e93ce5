package org.passhaven.core.membership;

import java.time.Duration;

/**
 * Timing of heartbeats and failure detection.
 *
 * @param period time between two heartbeats of a node
 * @param suspectAfter silence of a probed node after which it is suspected
 * @param deadAfter time in which a suspected node must send a higher heartbeat, else it counts as
 *     dead
 * @param maxUpdatesPerMessage maximum number of updates about other nodes in one message
 */
public record MembershipSettings(
    Duration period, Duration suspectAfter, Duration deadAfter, int maxUpdatesPerMessage) {
  /** Defaults for a fleet of up to several hundred nodes. */
  public static final MembershipSettings DEFAULT =
      new MembershipSettings(
          Duration.ofSeconds(1), Duration.ofSeconds(1), Duration.ofSeconds(5), 6);
}
