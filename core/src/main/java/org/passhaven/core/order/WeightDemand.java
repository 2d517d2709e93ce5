package org.passhaven.core.order;

import java.util.Map;

/**
 * Weight versions that the servers should load, and the open work that determines how many servers
 * each model gets.
 *
 * @param newestVersions newest announced version by model
 * @param openItems number of items that wait or generate, by model
 */
public record WeightDemand(Map<String, Long> newestVersions, Map<String, Integer> openItems) {
  public WeightDemand {
    newestVersions = Map.copyOf(newestVersions);
    openItems = Map.copyOf(openItems);
  }
}
