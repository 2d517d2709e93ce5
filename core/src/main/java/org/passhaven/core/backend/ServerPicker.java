package org.passhaven.core.backend;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.passhaven.core.topology.Distance;
import org.passhaven.core.topology.DistanceCosts;

/**
 * Chooses the server with the lowest cost for a request. The cost grows with the load and is higher
 * for distant and slow servers; a server that failed recently is used only if there is no other.
 * Ties go to the first server in the given order, so each node must pass its own order: otherwise
 * all nodes would send to the same server.
 */
public final class ServerPicker {
  /** A server is slow if its latency exceeds that of the fastest one by this factor. */
  private static final double SLOW_LATENCY_FACTOR = 2.0;

  /** Cost of a slow server, as a fraction of the cost of having all its slots in use. */
  private static final double SLOW_COST = 0.6;

  private final ServerHealth health;
  private final Function<ServerEntry, Distance> distance;

  /** Creates a picker that prefers servers in {@code zone}. */
  public ServerPicker(ServerHealth health, String zone) {
    this(health, server -> server.zone().equals(zone));
  }

  /** Creates a picker that prefers servers for which {@code isNear} holds, in a single region. */
  public ServerPicker(ServerHealth health, Predicate<ServerEntry> isNear) {
    this(server -> isNear.test(server) ? Distance.SAME_ZONE : Distance.SAME_REGION, health);
    Objects.requireNonNull(isNear, "isNear");
  }

  // The parameters are in another order, since a lambda would also fit a predicate.
  private ServerPicker(Function<ServerEntry, Distance> distance, ServerHealth health) {
    this.health = Objects.requireNonNull(health, "health");
    this.distance = Objects.requireNonNull(distance, "distance");
  }

  /** Creates a picker that prefers servers at small distances. */
  public static ServerPicker byDistance(
      ServerHealth health, Function<ServerEntry, Distance> distance) {
    return new ServerPicker(distance, health);
  }

  /**
   * Returns the server to send to, or empty if all servers are excluded.
   *
   * @param servers in this node's order of preference
   */
  public Optional<ServerEntry> pick(
      Collection<ServerEntry> servers, Set<ServerIncarnation> excluded, long nowMillis) {
    List<ServerEntry> allowed =
        servers.stream().filter(server -> !excluded.contains(server.incarnation())).toList();
    List<ServerEntry> healthy =
        allowed.stream()
            .filter(server -> !health.isAvoided(server.incarnation(), nowMillis))
            .toList();
    List<ServerEntry> candidates = healthy.isEmpty() ? allowed : healthy;
    double fastest = fastestMillis(candidates, nowMillis);
    DistanceCosts costs = distanceCosts(candidates, nowMillis);
    return candidates.stream()
        .min(Comparator.comparingDouble(server -> cost(server, costs, fastest, nowMillis)));
  }

  /** Returns the costs by the fastest answers of the own and of other regions. */
  private DistanceCosts distanceCosts(Collection<ServerEntry> servers, long nowMillis) {
    Map<Boolean, List<ServerEntry>> byRegion =
        servers.stream()
            .collect(
                Collectors.partitioningBy(
                    server -> distance.apply(server) == Distance.OTHER_REGION));
    return DistanceCosts.measured(
        fastestMillis(byRegion.get(false), nowMillis),
        fastestMillis(byRegion.get(true), nowMillis));
  }

  /**
   * Returns whether a server can take a request now: it did not fail recently and has a slot that
   * this node does not use.
   */
  public boolean isUsable(ServerEntry server, long nowMillis) {
    return !health.isAvoided(server.incarnation(), nowMillis)
        && health.inProgress(server.incarnation()) < Math.max(1, server.slots());
  }

  /**
   * Returns whether a server is a good choice now: it did not fail recently, has a slot that this
   * node does not use, and is not slow compared with its peers.
   */
  public boolean isGood(ServerEntry server, Collection<ServerEntry> peers, long nowMillis) {
    return isUsable(server, nowMillis)
        && !isSlow(server, fastestMillis(peers, nowMillis), nowMillis);
  }

  private double fastestMillis(Collection<ServerEntry> servers, long nowMillis) {
    return servers.stream()
        .mapToDouble(server -> health.latencyMillis(server.incarnation(), nowMillis))
        .filter(latency -> latency > 0)
        .min()
        .orElse(0);
  }

  private boolean isSlow(ServerEntry server, double fastestMillis, long nowMillis) {
    return fastestMillis > 0
        && health.latencyMillis(server.incarnation(), nowMillis)
            > SLOW_LATENCY_FACTOR * fastestMillis;
  }

  private double cost(
      ServerEntry server, DistanceCosts costs, double fastestMillis, long nowMillis) {
    double cost = health.inProgress(server.incarnation()) / (double) Math.max(1, server.slots());
    cost += costs.slots(distance.apply(server));
    if (isSlow(server, fastestMillis, nowMillis)) {
      cost += SLOW_COST;
    }
    return cost;
  }
}
