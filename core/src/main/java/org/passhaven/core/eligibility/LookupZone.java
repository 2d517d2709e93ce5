package org.passhaven.core.eligibility;

import java.util.Collection;
import java.util.Comparator;
import org.passhaven.core.placement.Rendezvous;
import org.passhaven.core.topology.Topology;
import org.passhaven.protocol.region.RegionRestriction;

/** Chooses the zone whose nodes a caller of restricted routes should use. */
public final class LookupZone {
  private LookupZone() {}

  /**
   * Returns the caller's own zone if its region is allowed and has nodes, else a zone with nodes in
   * an allowed region. The own zone is also returned if there is no such node, since any node can
   * pass requests on to servers of allowed regions.
   *
   * @param zonesWithNodes zones of nodes that accept work
   */
  public static String choose(
      String callerZone,
      RegionRestriction restriction,
      Topology topology,
      Collection<String> zonesWithNodes) {
    String callerRegion = topology.regionOf(callerZone);
    boolean isOwnRegionUsable =
        restriction.allows(callerRegion)
            && zonesWithNodes.stream()
                .anyMatch(zone -> topology.regionOf(zone).equals(callerRegion));
    if (!restriction.isRestricted() || isOwnRegionUsable) {
      return callerZone;
    }
    return zonesWithNodes.stream()
        .filter(zone -> restriction.allows(topology.regionOf(zone)))
        .max(Comparator.comparingLong(zone -> Rendezvous.weight(callerZone, zone)))
        .orElse(callerZone);
  }
}
