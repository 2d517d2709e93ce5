package org.passhaven.core.tenant;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * Somebody on whose account requests run.
 *
 * @param priority rank of its requests, 0 first; goes before the rank of their route where given
 */
public record Tenant(String name, OptionalInt priority) {
  public Tenant {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(priority, "priority");
    if (name.isEmpty()) {
      throw new IllegalArgumentException("a tenant needs a name");
    }
  }
}
