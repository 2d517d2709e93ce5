package org.passhaven.core.route;

import java.util.Objects;

/** Weight of a service in the distribution of a route's requests. */
public record ServiceShare(String service, long weight) {
  public ServiceShare {
    Objects.requireNonNull(service, "service");
    if (weight < 0) {
      throw new IllegalArgumentException("weight of service " + service + " must not be negative");
    }
  }
}
