package org.passhaven.core.topology;

import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * The regions of the deployment's zones. A zone that is not listed belongs to the region of the
 * node's own zone, so that a deployment without regions has a single one.
 *
 * @param zone zone of this node
 * @param regionsByZone region of each known zone
 */
public record Topology(String zone, Map<String, String> regionsByZone) {
  /** Region of all zones in a deployment that lists no regions. */
  private static final String DEFAULT_REGION = "";

  public Topology {
    Objects.requireNonNull(zone, "zone");
    regionsByZone = Map.copyOf(regionsByZone);
  }

  /** Returns the topology of a node in a deployment with a single region. */
  public static Topology ofZone(String zone) {
    return new Topology(zone, Map.of());
  }

  /** Returns the region of this node; the only known one if its zone is not listed. */
  public String region() {
    String listed = regionsByZone.get(zone);
    if (listed != null) {
      return listed;
    }
    Set<String> regions = regions();
    return regions.size() == 1 ? regions.iterator().next() : DEFAULT_REGION;
  }

  /** Returns the region of a zone. */
  public String regionOf(String otherZone) {
    String listed = regionsByZone.get(otherZone);
    return listed == null ? region() : listed;
  }

  /** Returns whether the deployment has more than one region. */
  public boolean hasSeveralRegions() {
    return regions().size() > 1;
  }

  /** Returns the known regions, in alphabetical order. */
  public Set<String> regions() {
    return new TreeSet<>(regionsByZone.values());
  }

  /** Returns the known zones of a region. */
  public Set<String> zonesOf(String region) {
    return regionsByZone.entrySet().stream()
        .filter(zoneAndRegion -> zoneAndRegion.getValue().equals(region))
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }

  /** Returns the distance between two zones. */
  public Distance between(String first, String second) {
    if (first.equals(second)) {
      return Distance.SAME_ZONE;
    }
    return regionOf(first).equals(regionOf(second)) ? Distance.SAME_REGION : Distance.OTHER_REGION;
  }

  /** Returns the distance from this node to a zone. */
  public Distance to(String otherZone) {
    return between(zone, otherZone);
  }
}
