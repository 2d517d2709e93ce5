package org.passhaven.core.eligibility;

import java.util.Collection;
import java.util.EnumSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
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
    }
    Optional<Ineligibility> exclusion = exclusion(listed, restriction);
    if (exclusion.isEmpty() && !coldStartLimit.maySend(listed, nowMillis)) {
      return Optional.of(Ineligibility.COLD_LIMIT_REACHED);
    }
    return exclusion;
  }

  /** Returns whether any server could be excluded, so that callers can skip looking at each. */
  public boolean mayExclude(RegionRestriction restriction) {
    return restriction.isRestricted() || !evacuations.isEmpty();
  }

  /**
   * Returns why a server must not be chosen for a request, however long the request waits; empty if
   * it may be.
   */
  public Optional<Ineligibility> exclusion(ServerEntry server, RegionRestriction restriction) {
    if (!mayExclude(restriction)) {
      return Optional.empty();
    }
    if (!restriction.allows(topology.regionOf(server.zone()))) {
      return Optional.of(Ineligibility.REGION_NOT_ALLOWED);
    }
    return evacuations.contains(server.zone())
        ? Optional.of(Ineligibility.ZONE_EVACUATED)
        : Optional.empty();
  }

  /**
   * Returns why all of these servers are excluded; empty if one is not, or if there are none. An
   * evacuation is named if it excludes any server that the request may be served by.
   */
  public Optional<Ineligibility> exclusionOfAll(
      Collection<ServerEntry> all, RegionRestriction restriction) {
    Set<Ineligibility> reasons = EnumSet.noneOf(Ineligibility.class);
    for (ServerEntry server : all) {
      Optional<Ineligibility> reason = exclusion(server, restriction);
      if (reason.isEmpty()) {
        return Optional.empty();
      }
      reasons.add(reason.get());
    }
    return reasons.contains(Ineligibility.ZONE_EVACUATED)
        ? Optional.of(Ineligibility.ZONE_EVACUATED)
        : reasons.stream().findFirst();
  }

  /** Counts a request that is sent to a server now, after a successful check. */
  public void onSent(ServerEntry server, long nowMillis) {
    coldStartLimit.onSent(server, nowMillis);
  }
}
