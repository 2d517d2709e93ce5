package org.passhaven.core.membership;

import java.time.Duration;

/**
 * Pace of heartbeats.
 *
 * @param period time between two heartbeats of a node
 * @param suspectAfter silence of a probed node after which it is suspected
 * @param deadAfter time for a suspected node to speak up before it counts as dead
 * @param newsPerMessage most statements about others in one message
 */
public record MembershipSettings(
    Duration period, Duration suspectAfter, Duration deadAfter, int newsPerMessage) {
  /** Defaults for a fleet of up to several hundred nodes. */
  public static final MembershipSettings DEFAULT =
      new MembershipSettings(
          Duration.ofSeconds(1), Duration.ofSeconds(1), Duration.ofSeconds(5), 6);
}
