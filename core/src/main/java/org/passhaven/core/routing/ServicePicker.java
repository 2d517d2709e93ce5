package org.passhaven.core.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import org.passhaven.protocol.ServerId;

/**
 * Picks a service server for one request: the one with the fewest outstanding requests relative to
 * its share, with a preference for the local zone.
 */
public final class ServicePicker {
  private static final double OTHER_ZONE_COST = 2;

  private ServicePicker() {}

  /** Returns the best server that was not tried yet, or empty if there is none. */
  public static Optional<ServiceView> pick(
      Collection<ServiceView> servers, String localZone, Set<ServerId> tried) {
    return servers.stream()
        .filter(server -> server.share() > 0 && !tried.contains(server.id()))
        .min(
            Comparator.comparingDouble((ServiceView server) -> cost(server, localZone))
                .thenComparing(ServiceView::id));
  }

  private static double cost(ServiceView server, String localZone) {
    double distance = server.zone().equals(localZone) ? 0 : OTHER_ZONE_COST;
    return (server.outstanding() + 1 + distance) / server.share();
  }
}
