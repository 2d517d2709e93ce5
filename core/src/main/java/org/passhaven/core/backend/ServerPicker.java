package org.passhaven.core.backend;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Chooses a server for a request: the least used, near ones and fast ones first; one that failed
 * lately only if there is no other. Of those alike it takes the one that comes first, so each node
 * names them in an order of its own: nodes that know nothing of each other would else all send to
 * the same server.
 */
public final class ServerPicker {
  private static final double OTHER_ZONE_COST = 0.15;
  private static final double SLOW_FACTOR = 2.0;
  private static final double SLOW_COST = 0.6;
  private final ServerHealth health;
  private final Predicate<ServerEntry> isNear;

  /** Creates a picker for a node in {@code zone}. */
  public ServerPicker(ServerHealth health, String zone) {
    this(health, server -> server.zone().equals(zone));
  }

  /** Creates a picker that prefers the servers that are near. */
  public ServerPicker(ServerHealth health, Predicate<ServerEntry> isNear) {
    this.health = Objects.requireNonNull(health, "health");
    this.isNear = Objects.requireNonNull(isNear, "isNear");
  }

  /**
   * The server to send to; empty if there is none but the excluded ones.
   *
   * @param servers in this node's order of preference
   */
  public Optional<ServerEntry> pick(
      Collection<ServerEntry> servers, Set<ServerStart> excluded, long nowMillis) {
    List<ServerEntry> open =
        servers.stream().filter(server -> !excluded.contains(server.start())).toList();
    List<ServerEntry> sound =
        open.stream().filter(server -> !health.isAvoided(server.start(), nowMillis)).toList();
    List<ServerEntry> candidates = sound.isEmpty() ? open : sound;
    double fastest = fastestMillis(candidates, nowMillis);
    return candidates.stream()
        .min(Comparator.comparingDouble(server -> cost(server, fastest, nowMillis)));
  }

  /**
   * Whether a server is good now: it did not fail lately, has a place that this node does not use,
   * and is not slow compared with its peers.
   */
  public boolean isGood(ServerEntry server, Collection<ServerEntry> peers, long nowMillis) {
    return !health.isAvoided(server.start(), nowMillis)
        && health.inProgress(server.start()) < Math.max(1, server.slots())
        && !isSlow(server, fastestMillis(peers, nowMillis), nowMillis);
  }

  private double fastestMillis(Collection<ServerEntry> servers, long nowMillis) {
    return servers.stream()
        .mapToDouble(server -> health.latencyMillis(server.start(), nowMillis))
        .filter(latency -> latency > 0)
        .min()
        .orElse(0);
  }

  private boolean isSlow(ServerEntry server, double fastestMillis, long nowMillis) {
    return fastestMillis > 0
        && health.latencyMillis(server.start(), nowMillis) > SLOW_FACTOR * fastestMillis;
  }

  private double cost(ServerEntry server, double fastestMillis, long nowMillis) {
    double cost = health.inProgress(server.start()) / (double) Math.max(1, server.slots());
    if (!isNear.test(server)) {
      cost += OTHER_ZONE_COST;
    }
    if (isSlow(server, fastestMillis, nowMillis)) {
      cost += SLOW_COST;
    }
    return cost;
  }
}
