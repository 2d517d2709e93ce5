package org.passhaven.core.service;

import java.util.Objects;
import java.util.Optional;

/**
 * Properties of a service that the operator configures.
 *
 * @param coldStart limits of a server that has just started; empty if there are none
 * @param scaling bounds and prices of the number of servers; empty if it can't be changed
 */
public record ServiceSpec(String name, Optional<ColdStart> coldStart, Optional<Scaling> scaling) {
  public ServiceSpec {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(coldStart, "coldStart");
    Objects.requireNonNull(scaling, "scaling");
  }

  /** Returns the properties of a service that the operator does not describe. */
  public static ServiceSpec ofName(String name) {
    return new ServiceSpec(name, Optional.empty(), Optional.empty());
  }
}
