package org.passhaven.core.backend;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses a server for a request: the least used, near ones and fast ones first; one that failed
 * lately only if there is no other.
 */
public final class ServerPicker {
  private static final double OTHER_ZONE_COST = 0.15;
  private static final double SLOW_FACTOR = 2.0;
  private static final double SLOW_COST = 0.6;
  private final ServerHealth health;
  private final String zone;

  /** Creates a picker for a node in {@code zone}. */
  public ServerPicker(ServerHealth health, String zone) {
    this.health = health;
    this.zone = zone;
  }

  /** The server to send to; empty if there is none but the excluded ones. */
  public Optional<ServerEntry> pick(
      Collection<ServerEntry> servers, Set<ServerStart> excluded, long nowMillis) {
    List<ServerEntry> open =
        servers.stream().filter(server -> !excluded.contains(server.start())).toList();
    List<ServerEntry> sound =
        open.stream().filter(server -> !health.isAvoided(server.start(), nowMillis)).toList();
    List<ServerEntry> candidates = sound.isEmpty() ? open : sound;
    double fastest =
        candidates.stream()
            .mapToDouble(server -> health.latencyMillis(server.start(), nowMillis))
            .filter(latency -> latency > 0)
            .min()
            .orElse(0);
    return candidates.stream()
        .min(
            Comparator.comparingDouble((ServerEntry server) -> cost(server, fastest, nowMillis))
                .thenComparing(ServerEntry::start));
  }

  private double cost(ServerEntry server, double fastest, long nowMillis) {
    double cost = health.inProgress(server.start()) / (double) Math.max(1, server.slots());
    if (!server.zone().equals(zone)) {
      cost += OTHER_ZONE_COST;
    }
    if (fastest > 0 && health.latencyMillis(server.start(), nowMillis) > SLOW_FACTOR * fastest) {
      cost += SLOW_COST;
    }
    return cost;
  }
}
