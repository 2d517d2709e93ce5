package org.passhaven.core.eligibility;

import java.util.Objects;
import java.util.Optional;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerTable;
import org.passhaven.core.evacuation.ZoneEvacuations;
import org.passhaven.core.topology.Topology;
import org.passhaven.protocol.region.RegionRestriction;

/**
 * Decides whether a server may receive a request now. All requests to servers are checked
 * immediately before they are sent, whatever chose their server. Not thread-safe.
 */
public final class ServerEligibility {
  private final ServerTable servers;
  private final ZoneEvacuations evacuations;
  private final Topology topology;
  private ColdStartLimit coldStartLimit = ColdStartLimit.NONE;

  /** Creates a check against the given servers and evacuated zones, which may change. */
  public ServerEligibility(ServerTable servers, ZoneEvacuations evacuations, Topology topology) {
    this.servers = Objects.requireNonNull(servers, "servers");
    this.evacuations = Objects.requireNonNull(evacuations, "evacuations");
    this.topology = Objects.requireNonNull(topology, "topology");
  }

  /** Sets the limit on requests to servers that have just started. */
  public void limitColdStarts(ColdStartLimit limit) {
    coldStartLimit = Objects.requireNonNull(limit, "limit");
  }

  /** Returns why a server must not receive a request now; empty if it may. */
  public Optional<Ineligibility> check(
      ServerEntry server, RegionRestriction restriction, long nowMillis) {
    ServerEntry listed = servers.get(server.incarnation());
    if (listed == null) {
      return Optional.of(Ineligibility.NOT_LISTED);
    } else if (!listed.ready()) {
      return Optional.of(Ineligibility.DRAINING);
    } else if (evacuations.contains(listed.zone())) {
      return Optional.of(Ineligibility.ZONE_EVACUATED);
    } else if (!restriction.allows(topology.regionOf(listed.zone()))) {
      return Optional.of(Ineligibility.REGION_NOT_ALLOWED);
    } else if (!coldStartLimit.maySend(listed, nowMillis)) {
      return Optional.of(Ineligibility.COLD_LIMIT_REACHED);
    }
    return Optional.empty();
  }

  /** Counts a request that is sent to a server now, after a successful check. */
  public void onSent(ServerEntry server, long nowMillis) {
    coldStartLimit.onSent(server, nowMillis);
  }
}
