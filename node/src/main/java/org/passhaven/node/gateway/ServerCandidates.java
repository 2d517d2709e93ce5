package org.passhaven.node.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.passhaven.core.backend.PeakConcurrency;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerHealth;
import org.passhaven.core.backend.ServerPicker;
import org.passhaven.core.backend.ServerSubset;
import org.passhaven.core.coldstart.ColdStartLimiter;
import org.passhaven.core.forward.ForwardPlan;
import org.passhaven.core.placement.Member;
import org.passhaven.core.topology.Distance;
import org.passhaven.protocol.member.MemberBeat;
import org.passhaven.protocol.region.RegionRestriction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Selects the servers that a request may be sent to: those of this node's {@link ServerSubset}, or
 * all servers of the service while none of the subset is usable. Servers of another region are left
 * out while this node's region has a usable one. A subset is recomputed only when nodes or servers
 * have changed. Not thread-safe.
 */
final class ServerCandidates {
  private static final Logger LOG = LoggerFactory.getLogger(ServerCandidates.class);
  private final GatewayContext context;
  private final PlatformDirectory directory;
  private final ServerHealth health;
  private final Supplier<List<MemberBeat>> liveNodes;
  private final Member self;
  private final ServerPicker picker;
  private final Map<Requests, Service> services = new HashMap<>();

  /** Subset that {@link #distanceTo} refers to: the one last returned by {@link #of}. */
  private Service lastChosen = new Service();

  private List<MemberBeat> lastHeartbeats = List.of();
  private List<Member> nodes = List.of();

  /** Requests to one service that may be served in the same regions. */
  private record Requests(String service, RegionRestriction restriction) {}

  /** The subset of one service, the nodes and servers it was computed from, and its peak use. */
  private static final class Service {
    final PeakConcurrency peakUse = new PeakConcurrency();
    int rotation;
    List<Member> nodes = List.of();
    List<ServerEntry> ready = List.of();
    ServerSubset subset = new ServerSubset(List.of(), 0);
    ServerSubset activeSubset = subset;
  }

  ServerCandidates(
      GatewayContext context,
      PlatformDirectory directory,
      ServerHealth health,
      Supplier<List<MemberBeat>> liveNodes) {
    this.context = Objects.requireNonNull(context, "context");
    this.directory = Objects.requireNonNull(directory, "directory");
    this.health = Objects.requireNonNull(health, "health");
    this.liveNodes = Objects.requireNonNull(liveNodes, "liveNodes");
    this.self = new Member(context.settings().node(), context.settings().zone());
    this.picker = ServerPicker.byDistance(health, this::distanceTo);
  }

  /** Returns the picker that chooses among the servers returned by {@link #of}. */
  ServerPicker picker() {
    return picker;
  }

  /** Returns the servers that a request may be sent to now, in this node's preference order. */
  List<ServerEntry> of(String name, RegionRestriction restriction, ForwardPlan plan) {
    // A subset of all servers might contain none of the allowed regions.
    Requests requests = new Requests(name, restriction);
    Service service = services.computeIfAbsent(requests, key -> new Service());
    lastChosen = service;
    refresh(requests, service);
    long now = context.nowMillis();
    int peak = service.peakUse.update(inProgress(service) + 1, now);
    service.activeSubset = service.subset.forLoad(peak, service.rotation++);
    Predicate<ServerEntry> isUntried = server -> !plan.hasTried(server.incarnation());
    Predicate<ServerEntry> isGood =
        isUntried.and(server -> picker.isGood(server, service.ready, now));
    Predicate<ServerEntry> isUsable = isUntried.and(server -> picker.isUsable(server, now));
    if (directory.coldStarts().limits(name)) {
      return warmFirst(service, isGood, isUsable, now);
    }
    return chooseFrom(service, isGood, isUsable);
  }

  private List<ServerEntry> chooseFrom(
      Service service, Predicate<ServerEntry> isGood, Predicate<ServerEntry> isUsable) {
    List<ServerEntry> servers = service.activeSubset.candidates(isGood, this::isInRegion, isUsable);
    if (service.activeSubset.isPartial() && hasOthers(service.activeSubset, servers)) {
      context.metrics().subsetsWidened.increment();
    }
    return servers;
  }

  /**
   * Returns the warm servers while one of them is good, otherwise also the cold ones whose turn it
   * is.
   */
  private List<ServerEntry> warmFirst(
      Service service,
      Predicate<ServerEntry> isGood,
      Predicate<ServerEntry> isUsable,
      long nowMillis) {
    ColdStartLimiter coldStarts = directory.coldStarts();
    Predicate<ServerEntry> isWarm = server -> !coldStarts.isLimited(server, nowMillis);
    List<ServerEntry> servers =
        chooseFrom(
            service,
            isWarm.and(isGood),
            isUsable.and(server -> coldStarts.maySend(server, nowMillis)));
    Predicate<ServerEntry> isEligible =
        servers.stream().anyMatch(isWarm.and(isGood))
            ? isWarm
            : server -> coldStarts.maySend(server, nowMillis);
    return servers.stream().filter(isEligible).toList();
  }

  private void refresh(Requests requests, Service service) {
    List<ServerEntry> ready = directory.candidatesOf(requests.service(), requests.restriction());
    List<Member> live = liveMembers();
    boolean hasSameNodes = live.equals(service.nodes);
    if (hasSameNodes && ready.equals(service.ready)) {
      return;
    }
    boolean hasSameServers = ServerSubset.haveSameSubsets(ready, service.ready);
    service.ready = ready;
    service.nodes = live;
    if (hasSameNodes && hasSameServers) {
      // Entries change with each weight version, but subsets do not depend on versions.
      service.subset = service.subset.withEntries(ready);
      return;
    }
    // The first choice changes with the servers, so that a new server becomes the first choice of
    // its share of the nodes.
    ServerSubset newSubset =
        ServerSubset.of(
            self,
            live,
            ready,
            context.settings().topology(),
            context.settings().spreadsOverZones());
    service.subset = hasSameServers ? newSubset.withFirstChoiceOf(service.subset) : newSubset;
    LOG.atDebug()
        .addKeyValue("service", requests.service())
        .addKeyValue("regions", requests.restriction().regions().orElse(Set.of()))
        .addKeyValue("nodes", live.size())
        .addKeyValue("servers", ready.size())
        .addKeyValue("size", service.subset.size())
        .log("subset: formed");
  }

  /** Returns the live nodes, computed once for each list of heartbeats. */
  private List<Member> liveMembers() {
    List<MemberBeat> heartbeats = liveNodes.get();
    if (heartbeats != lastHeartbeats) {
      lastHeartbeats = heartbeats;
      nodes =
          heartbeats.stream()
              .map(heartbeat -> new Member(heartbeat.node(), heartbeat.zone()))
              .toList();
    }
    return nodes;
  }

  /** Returns whether a server is in this node's region. */
  boolean isInRegion(ServerEntry server) {
    return context.settings().topology().to(server.zone()) != Distance.OTHER_REGION;
  }

  /** Returns the state of this node's region for a request that leaves it. */
  RegionState describeRegion(String name, RegionRestriction restriction, ForwardPlan plan) {
    List<ServerEntry> own =
        directory.candidatesOf(name, restriction).stream().filter(this::isInRegion).toList();
    int tried = 0;
    int avoided = 0;
    int full = 0;
    for (ServerEntry server : own) {
      if (plan.hasTried(server.incarnation())) {
        tried++;
      } else if (health.isAvoided(server.incarnation(), context.nowMillis())) {
        avoided++;
      } else if (health.inProgress(server.incarnation()) >= Math.max(1, server.slots())) {
        full++;
      }
    }
    return new RegionState(own.size(), tried, avoided, full);
  }

  private static boolean hasOthers(ServerSubset subset, List<ServerEntry> servers) {
    return servers.stream().anyMatch(server -> !subset.contains(server.incarnation()));
  }

  private int inProgress(Service service) {
    return service.ready.stream().mapToInt(server -> health.inProgress(server.incarnation())).sum();
  }

  /**
   * Returns the distance to a server. A server of the region counts as in this node's zone if it is
   * in a partial subset; a subset prefers servers of the node's zone.
   */
  private Distance distanceTo(ServerEntry server) {
    if (!isInRegion(server)) {
      return Distance.OTHER_REGION;
    }
    return isNear(server) ? Distance.SAME_ZONE : Distance.SAME_REGION;
  }

  private boolean isNear(ServerEntry server) {
    return server.zone().equals(self.zone())
        || (lastChosen.activeSubset.isPartial()
            && lastChosen.activeSubset.contains(server.incarnation()));
  }
}
