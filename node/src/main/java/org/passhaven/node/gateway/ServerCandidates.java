package org.passhaven.node.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
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
import org.passhaven.protocol.member.MemberBeat;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Selects the servers that a request may be sent to: those of this node's {@link ServerSubset}, or
 * all servers of the service while none of the subset is usable. A subset is recomputed only when
 * nodes or servers have changed. Not thread-safe.
 */
final class ServerCandidates {
  private static final Logger LOG = LoggerFactory.getLogger(ServerCandidates.class);
  private final GatewayContext context;
  private final PlatformDirectory directory;
  private final ServerHealth health;
  private final Supplier<List<MemberBeat>> liveNodes;
  private final Member self;
  private final ServerPicker picker;
  private final Map<String, Service> services = new HashMap<>();
  private List<MemberBeat> lastHeartbeats = List.of();
  private List<Member> nodes = List.of();

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
    this.picker = new ServerPicker(health, this::isNear);
  }

  /** Returns the picker that chooses among the servers returned by {@link #of}. */
  ServerPicker picker() {
    return picker;
  }

  /** Returns the servers that a request may be sent to now, in this node's preference order. */
  List<ServerEntry> of(String name, ForwardPlan plan) {
    Service service = services.computeIfAbsent(name, key -> new Service());
    refresh(name, service);
    long now = context.nowMillis();
    int peak = service.peakUse.update(inProgress(service) + 1, now);
    service.activeSubset = service.subset.forLoad(peak, service.rotation++);
    Predicate<ServerEntry> isGood =
        server -> !plan.hasTried(server.incarnation()) && picker.isGood(server, service.ready, now);
    if (directory.coldStarts().limits(name)) {
      return warmFirst(service, isGood, now);
    }
    List<ServerEntry> servers = service.activeSubset.candidates(isGood);
    countWidened(service, servers);
    return servers;
  }

  /**
   * Returns the warm servers while one of them is good, otherwise also the cold ones whose turn it
   * is.
   */
  private List<ServerEntry> warmFirst(
      Service service, Predicate<ServerEntry> isGood, long nowMillis) {
    ColdStartLimiter coldStarts = directory.coldStarts();
    Predicate<ServerEntry> isWarm = server -> !coldStarts.isLimited(server, nowMillis);
    List<ServerEntry> servers = service.activeSubset.candidates(isWarm.and(isGood));
    countWidened(service, servers);
    Predicate<ServerEntry> isEligible =
        servers.stream().anyMatch(isWarm.and(isGood))
            ? isWarm
            : server -> coldStarts.maySend(server, nowMillis);
    return servers.stream().filter(isEligible).toList();
  }

  private void countWidened(Service service, List<ServerEntry> servers) {
    if (servers.size() > service.activeSubset.size()) {
      context.metrics().subsetsWidened.increment();
    }
  }

  private void refresh(String name, Service service) {
    List<ServerEntry> ready = directory.servers().readyServersOf(name);
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
    ServerSubset newSubset = ServerSubset.of(self, live, ready);
    service.subset = hasSameServers ? newSubset.withFirstChoiceOf(service.subset) : newSubset;
    LOG.atDebug()
        .addKeyValue("service", name)
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

  private int inProgress(Service service) {
    return service.ready.stream().mapToInt(server -> health.inProgress(server.incarnation())).sum();
  }

  /**
   * Returns whether a server is in this node's zone, or in its subset if that is partial; a subset
   * prefers servers of the node's zone.
   */
  private boolean isNear(ServerEntry server) {
    Service service = services.get(server.service());
    return server.zone().equals(self.zone())
        || (service != null
            && service.activeSubset.isPartial()
            && service.activeSubset.contains(server.incarnation()));
  }
}
