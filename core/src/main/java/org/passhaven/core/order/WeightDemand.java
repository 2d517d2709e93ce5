package org.passhaven.core.order;

import java.util.Map;

/**
 * Demand for weights.
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
