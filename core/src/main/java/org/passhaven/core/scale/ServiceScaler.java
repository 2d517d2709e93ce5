package org.passhaven.core.scale;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.scale.ScalingDecision.Reason;
import org.passhaven.core.service.Scaling;
import org.passhaven.core.service.ServiceSpec;
import org.passhaven.protocol.duty.ServiceFigures;

/**
 * Decides on the orders for the servers of one service; none asks for fewer servers. Must be
 * updated regularly while the views of servers and jobs are current. Not thread-safe.
 */
public final class ServiceScaler {
  /** Allowance for the platform's delay before a server boots, and for its entry to be read. */
  private static final long DELIVERY_MARGIN_MILLIS = 6_000;

  private final CapacityPolicy policy;
  private final ServiceFleet fleet = new ServiceFleet();
  private final CompletionRate rate = new CompletionRate();
  private final Map<String, Standing> standing = new HashMap<>();
  private int slots;

  /** What this node has seen of an order: since when it stands, and whether it was carried out. */
  private record Standing(ServiceFigures.Order order, long sinceMillis, boolean isDelivered) {}

  /** Creates a scaler of one service. */
  public ServiceScaler(CapacityPolicy policy) {
    this.policy = Objects.requireNonNull(policy, "policy");
  }

  /** Counts items that servers of the service finished. */
  public void onFinished(int items) {
    rate.onFinished(items);
  }

  /** Handles a time in which the servers or the results could not be read. */
  public void onBlind() {
    rate.restart();
    policy.onBlind();
  }

  /**
   * Applies the servers listed now and the items without a result.
   *
   * @param figures orders that stand
   */
  public void observe(
      Collection<ServerEntry> servers, int openItems, ServiceFigures figures, long nowMillis) {
    fleet.observe(servers, nowMillis);
    double busyServers = 0;
    double unplaced = openItems;
    slots = 0;
    for (ServerEntry server : servers) {
      if (server.ready()) {
        double placed = Math.min(unplaced, server.slots());
        busyServers += placed / server.slots();
        unplaced -= placed;
        slots += server.slots();
      }
    }
    rate.sample(busyServers, nowMillis);
    standing.keySet().retainAll(figures.zones().keySet());
    Map<String, ZoneServers> zones = fleet.zones(nowMillis);
    figures.zones().forEach((zone, order) -> observe(zone, order, zones, nowMillis));
  }

  private void observe(
      String zone, ServiceFigures.Order order, Map<String, ZoneServers> zones, long nowMillis) {
    Standing before = standing.get(zone);
    if (before == null || !before.order().equals(order)) {
      before = new Standing(order, nowMillis, false);
    }
    int available = zones.getOrDefault(zone, ZoneServers.NONE).available();
    boolean isDelivered =
        before.isDelivered() || (order.wasAccepted() && available >= order.servers());
    standing.put(zone, new Standing(order, before.sinceMillis(), isDelivered));
  }

  /**
   * Returns the number of servers present that no order explains, if it has not changed for some
   * time. How many servers a zone had before its order isn't known, so all up to its figure count
   * as ordered.
   */
  public OptionalInt settledServers(ServiceFigures figures, long nowMillis) {
    if (!fleet.isSettled(nowMillis)) {
      return OptionalInt.empty();
    }
    int servers = 0;
    for (Map.Entry<String, ZoneServers> zone : fleet.zones(nowMillis).entrySet()) {
      ServiceFigures.Order order = figures.zones().get(zone.getKey());
      int ordered = order == null ? 0 : order.servers();
      servers += Math.max(0, zone.getValue().available() - ordered);
    }
    return OptionalInt.of(servers);
  }

  /**
   * Returns the orders to change.
   *
   * @param blocked zones in which no servers are to be had now
   */
  public ScalingDecision decide(
      ServiceSpec service,
      ServiceFigures figures,
      Set<String> blocked,
      int openItems,
      long nowMillis) {
    Scaling scaling = service.scaling().orElseThrow();
    long leadMillis =
        scaling.bootMillis() + service.coldStart().map(cold -> cold.coldMillis()).orElse(0L);
    Map<String, ScalingPlanner.Zone> zones = zones(figures, leadMillis, nowMillis);
    int expected = ScalingPlanner.expected(zones);
    int floor = figures.floor();
    Load load =
        new Load(
            openItems,
            zones.values().stream().mapToInt(zone -> zone.servers().available()).sum(),
            slots,
            zones.values().stream().mapToInt(ScalingPlanner.Zone::coming).sum(),
            rate.itemsPerServerSecond(),
            leadMillis);
    // Asked also if another reason decides, since the policy follows the load over time.
    int required = policy.requiredServers(load, nowMillis);
    int wanted = Math.max(floor, required);
    Map<String, Integer> outgrown = outgrown(zones);
    if (!outgrown.isEmpty()) {
      return new ScalingDecision(outgrown, Reason.OUTGROWN, expected, wanted);
    }
    Map<String, Integer> overdue =
        overdue(figures, zones, scaling.maxServers(), blocked, leadMillis, nowMillis);
    if (!overdue.isEmpty()) {
      return new ScalingDecision(overdue, Reason.NOT_DELIVERED, expected, wanted);
    }
    if (!figures.areAccepted() || wanted <= expected) {
      return new ScalingDecision(Map.of(), Reason.REPLACEMENT, expected, wanted);
    }
    Reason reason = expected < floor ? Reason.REPLACEMENT : Reason.BACKLOG;
    Set<String> closed = new HashSet<>(blocked);
    closed.addAll(undelivered());
    return new ScalingDecision(
        ScalingPlanner.raise(scaling, zones, wanted - expected, closed), reason, expected, wanted);
  }

  private Map<String, ScalingPlanner.Zone> zones(
      ServiceFigures figures, long leadMillis, long nowMillis) {
    Map<String, ZoneServers> seen = fleet.zones(nowMillis);
    Set<String> names = new TreeSet<>(seen.keySet());
    names.addAll(figures.zones().keySet());
    Map<String, ScalingPlanner.Zone> zones = new TreeMap<>();
    for (String name : names) {
      ZoneServers servers = seen.getOrDefault(name, ZoneServers.NONE);
      Standing order = standing.get(name);
      boolean isComing =
          order != null
              && !order.isDelivered()
              && nowMillis - order.sinceMillis() < leadMillis + DELIVERY_MARGIN_MILLIS;
      int ordered = order == null ? 0 : order.order().servers();
      int coming = isComing ? Math.max(0, ordered - servers.available()) : 0;
      zones.put(name, new ScalingPlanner.Zone(servers, ordered, coming));
    }
    return zones;
  }

  private Set<String> undelivered() {
    Set<String> zones = new HashSet<>();
    standing.forEach(
        (zone, order) -> {
          if (!order.isDelivered()) {
            zones.add(zone);
          }
        });
    return zones;
  }

  /** Returns the accepted orders that should have been carried out by now, by zone. */
  private Map<String, Integer> overdue(
      ServiceFigures figures,
      Map<String, ScalingPlanner.Zone> zones,
      int maxServers,
      Set<String> blocked,
      long leadMillis,
      long nowMillis) {
    Map<String, Integer> overdue = new TreeMap<>();
    standing.forEach(
        (zone, order) -> {
          int again = Math.max(order.order().servers(), zones.get(zone).servers().counted());
          boolean isLate = nowMillis - order.sinceMillis() >= leadMillis + DELIVERY_MARGIN_MILLIS;
          if (order.order().wasAccepted()
              && !order.isDelivered()
              && isLate
              && !blocked.contains(zone)
              && again <= Math.max(order.order().servers(), maxServers)) {
            overdue.put(zone, again);
          }
        });
    overdue.keySet().retainAll(figures.zones().keySet());
    return overdue;
  }

  /**
   * Returns the numbers that take the place of unanswered orders for fewer servers than the zone
   * may count meanwhile, by zone.
   */
  private Map<String, Integer> outgrown(Map<String, ScalingPlanner.Zone> zones) {
    Map<String, Integer> orders = new TreeMap<>();
    standing.forEach(
        (zone, order) -> {
          int counted = zones.get(zone).servers().counted();
          if (!order.order().wasAccepted() && order.order().servers() < counted) {
            orders.put(zone, counted);
          }
        });
    return orders;
  }

  /** Returns the servers of a zone that the platform may count, as observed last. */
  public int countedServers(String zone, long nowMillis) {
    return fleet.zones(nowMillis).getOrDefault(zone, ZoneServers.NONE).counted();
  }

  /** Records that an order of the last decision was taken up. */
  public void onOrdered(Reason reason, long nowMillis) {
    if (reason == Reason.BACKLOG) {
      policy.onIncrease(nowMillis);
    }
  }
}
