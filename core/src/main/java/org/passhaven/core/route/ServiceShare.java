package org.passhaven.core.route;

import java.util.Objects;

/** Part of a route's requests that goes to one service. */
public record ServiceShare(String service, long weight) {
  public ServiceShare {
    Objects.requireNonNull(service, "service");
    if (weight < 0) {
      throw new IllegalArgumentException("weight of " + service + " is negative");
    }
  }
}
