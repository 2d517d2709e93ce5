package org.passhaven.core.service;

import java.util.Map;
import java.util.OptionalDouble;

/**
 * Bounds and prices of the number of servers of a service, which apply to each zone.
 *
 * @param minServers minimum number of servers in a zone
 * @param maxServers maximum number of servers in a zone, spot servers included
 * @param bootMillis time until an ordered server serves requests
 * @param spotPrice price of a spot server as a fraction of that of another; empty if there are
 *     none; not used yet, since no spot servers are ordered
 * @param pricesByZone relative price of a server by zone; 1 in zones that are not listed
 */
public record Scaling(
    int minServers,
    int maxServers,
    long bootMillis,
    OptionalDouble spotPrice,
    Map<String, Double> pricesByZone) {
  private static final double DEFAULT_PRICE = 1;

  public Scaling {
    if (minServers < 0 || maxServers < minServers) {
      throw new IllegalArgumentException(
          "bounds of the number of servers must be ascending, but are "
              + minServers
              + " and "
              + maxServers);
    }
    if (bootMillis < 0) {
      throw new IllegalArgumentException("boot time must not be negative, but is " + bootMillis);
    }
    pricesByZone = Map.copyOf(pricesByZone);
  }

  /** Returns the relative price of a server in a zone. */
  public double priceIn(String zone) {
    return pricesByZone.getOrDefault(zone, DEFAULT_PRICE);
  }
}
