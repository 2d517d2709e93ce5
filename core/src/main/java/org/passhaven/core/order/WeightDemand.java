package org.passhaven.core.order;

import java.util.Map;

/**
 * What servers' weights are wanted for.
 *
 * @param newestVersions newest named version by model
 * @param openItems items that wait or generate, by model
 */
public record WeightDemand(Map<String, Long> newestVersions, Map<String, Integer> openItems) {
  public WeightDemand {
    newestVersions = Map.copyOf(newestVersions);
    openItems = Map.copyOf(openItems);
  }
}
