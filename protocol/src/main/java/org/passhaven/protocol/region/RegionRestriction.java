package org.passhaven.protocol.region;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Regions in which a request may be served and its body stored.
 *
 * @param regions the allowed regions, which may be none; absent if all are allowed
 */
public record RegionRestriction(Optional<Set<String>> regions) {
  /** Allows all regions. */
  public static final RegionRestriction NONE = new RegionRestriction(Optional.empty());

  public RegionRestriction {
    regions = regions.map(Set::copyOf);
  }

  /** Returns a restriction to the given regions. */
  public static RegionRestriction to(Set<String> regions) {
    return new RegionRestriction(Optional.of(regions));
  }

  /** Returns whether any region is excluded. */
  public boolean isRestricted() {
    return regions.isPresent();
  }

  /** Returns whether a region is allowed. */
  public boolean allows(String region) {
    return regions.isEmpty() || regions.get().contains(region);
  }

  /** Returns the restriction to the regions that both allow. */
  public RegionRestriction and(RegionRestriction other) {
    if (regions.isEmpty()) {
      return other;
    }
    if (other.regions.isEmpty()) {
      return this;
    }
    Set<String> both = new TreeSet<>(regions.get());
    both.retainAll(other.regions.get());
    return to(both);
  }
}
