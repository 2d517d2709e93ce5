package org.passhaven.core.tenant;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * Tenant that requests belong to.
 *
 * @param priority priority of its requests, 0 is the most urgent; overrides the priority of their
 *     route if present
 */
public record Tenant(String name, OptionalInt priority) {
  public Tenant {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(priority, "priority");
    if (name.isEmpty()) {
      throw new IllegalArgumentException("the name of a tenant must not be empty");
    }
  }
}
