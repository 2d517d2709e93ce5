package org.passhaven.core.job;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.passhaven.core.backend.ServerStart;

/**
 * Tells a server that has stalled from a silence of all: when something last came from each server
 * at which generations run, at one moment.
 */
final class ServerSilence {
  /**
   * What came from another server so much later speaks for a stall of this one: half of the
   * patience with a generation, in which a sound server sends several events.
   */
  private static final long LATER_MILLIS = 350;

  private final Map<ServerStart, Long> heardAtMillis = new HashMap<>();

  ServerSilence(Collection<ItemRun> generating) {
    generating.forEach(run -> heardAtMillis.merge(run.server, run.progressAt, Math::max));
  }

  /** Whether the other servers, if there are any in use, have been silent as long. */
  boolean isCommon(ItemRun stalled) {
    boolean isOnlyOne = heardAtMillis.size() < 2;
    return !isOnlyOne
        && heardAtMillis.entrySet().stream()
            .filter(server -> !server.getKey().equals(stalled.server))
            .allMatch(server -> server.getValue() - stalled.progressAt < LATER_MILLIS);
  }
}
