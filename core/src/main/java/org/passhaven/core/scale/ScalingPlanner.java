package org.passhaven.core.scale;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.passhaven.core.service.Scaling;

/** Distributes a number of servers over the zones of a service. */
public final class ScalingPlanner {
  private ScalingPlanner() {}

  /**
   * State of a zone.
   *
   * @param servers servers seen in the zone
   * @param ordered number of servers in the order that stands; zero if there is none
   * @param coming servers that were ordered and are expected soon
   */
  public record Zone(ZoneServers servers, int ordered, int coming) {
    /** Returns the servers that are or will soon be there. */
    int expected() {
      return servers.available() + coming;
    }

    /** Returns the least number that an order can contain without taking servers away. */
    int leastOrder() {
      return Math.max(servers.counted(), ordered);
    }
  }

  /** Returns the servers that are or will soon be there in all zones. */
  public static int expected(Map<String, Zone> zones) {
    return zones.values().stream().mapToInt(Zone::expected).sum();
  }

  /**
   * Returns the orders that add servers, by zone: the servers are spread over the zones first, then
   * placed where they are cheap. Zones whose servers drain come last.
   *
   * @param missing number of servers to add
   * @param blocked zones in which no servers are to be had now
   */
  public static Map<String, Integer> raise(
      Scaling scaling, Map<String, Zone> zones, int missing, Set<String> blocked) {
    Map<String, Integer> added = new TreeMap<>();
    for (int i = 0; i < missing; i++) {
      Optional<String> best =
          zones.keySet().stream()
              .filter(zone -> !blocked.contains(zone))
              .filter(zone -> order(zones.get(zone), added, zone) < scaling.maxServers())
              .min(
                  Comparator.<String>comparingInt(
                          zone -> zones.get(zone).servers().draining() > 0 ? 1 : 0)
                      .thenComparingInt(
                          zone -> zones.get(zone).expected() + added.getOrDefault(zone, 0))
                      .thenComparingDouble(scaling::priceIn)
                      .thenComparing(Comparator.naturalOrder()));
      if (best.isEmpty()) {
        break;
      }
      added.merge(best.get(), 1, Integer::sum);
    }
    Map<String, Integer> orders = new TreeMap<>();
    added.forEach(
        (zone, count) ->
            orders.put(zone, Math.max(scaling.minServers(), zones.get(zone).leastOrder() + count)));
    return orders;
  }

  private static int order(Zone zone, Map<String, Integer> added, String name) {
    return zone.leastOrder() + added.getOrDefault(name, 0);
  }
}
