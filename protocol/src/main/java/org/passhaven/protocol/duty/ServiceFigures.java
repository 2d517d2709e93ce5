package org.passhaven.protocol.duty;

import java.util.HashMap;
import java.util.Map;

/**
 * Numbers of servers of a service.
 *
 * @param floor number of servers in all zones that is kept up
 * @param zones orders by zone; zones without an order are missing
 */
public record ServiceFigures(int floor, Map<String, Order> zones) {
  public ServiceFigures {
    zones = Map.copyOf(zones);
  }

  /**
   * An order that stands.
   *
   * @param servers number of servers that is ordered
   * @param accepted number that the platform last accepted; zero if none
   */
  public record Order(int servers, int accepted) {
    /** Returns whether the platform has accepted the order. */
    public boolean wasAccepted() {
      return servers == accepted;
    }
  }

  /** Returns the figures with another order for a zone; null removes it. */
  public ServiceFigures with(String zone, Order order) {
    Map<String, Order> changed = new HashMap<>(zones);
    if (order == null) {
      changed.remove(zone);
    } else {
      changed.put(zone, order);
    }
    return new ServiceFigures(floor, changed);
  }

  /** Returns whether the platform has accepted all orders. */
  public boolean areAccepted() {
    return zones.values().stream().allMatch(Order::wasAccepted);
  }
}
