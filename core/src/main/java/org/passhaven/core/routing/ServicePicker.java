package org.passhaven.core.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import org.passhaven.protocol.ServerId;

/**
 * Chooses a service server for one request: least outstanding for its share, the local zone first
 * at equal load.
 */
public final class ServicePicker {
  private static final double OTHER_ZONE_COST = 2;

  private ServicePicker() {}

  /** The best server that was not tried yet; empty if none may be used. */
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
