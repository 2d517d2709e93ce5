package org.passhaven.core.tenant;

import java.util.Objects;
import java.util.OptionalInt;
import org.passhaven.protocol.region.RegionRestriction;

/**
 * Tenant that requests belong to.
 *
 * @param priority priority of its requests, 0 is the most urgent; overrides the priority of their
 *     route if present
 * @param restriction regions in which its requests may be served and stored
 */
public record Tenant(String name, OptionalInt priority, RegionRestriction restriction) {
  public Tenant {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(priority, "priority");
    Objects.requireNonNull(restriction, "restriction");
    if (name.isEmpty()) {
      throw new IllegalArgumentException("the name of a tenant must not be empty");
    }
  }

  /** Creates a tenant whose requests may be served in all regions. */
  public Tenant(String name, OptionalInt priority) {
    this(name, priority, RegionRestriction.NONE);
  }
}
