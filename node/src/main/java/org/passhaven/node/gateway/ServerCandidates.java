package org.passhaven.node.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Supplier;
import org.passhaven.core.backend.PeakUse;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerHealth;
import org.passhaven.core.backend.ServerPicker;
import org.passhaven.core.backend.ServerSubset;
import org.passhaven.core.forward.ForwardPlan;
import org.passhaven.core.placement.Member;
import org.passhaven.protocol.member.MemberBeat;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Servers that a request may be sent to: those of this node's {@link ServerSubset}, or all of the
 * service while none of them is good. A subset is recomputed only when nodes or servers have
 * changed.
 */
final class ServerCandidates {
  private static final Logger LOG = LoggerFactory.getLogger(ServerCandidates.class);
  private final GatewayContext context;
  private final Directory directory;
  private final ServerHealth health;
  private final Supplier<List<MemberBeat>> liveNodes;
  private final Member self;
  private final ServerPicker picker;
  private final Map<String, Service> services = new HashMap<>();
  private List<MemberBeat> beatsSeen = List.of();
  private List<Member> nodes = List.of();

  /** A service's subset, the nodes and servers it was computed from, and this node's use of it. */
  private static final class Service {
    final PeakUse use = new PeakUse();
    int turn;
    List<Member> nodes = List.of();
    List<ServerEntry> ready = List.of();
    ServerSubset formed = new ServerSubset(List.of(), 0);
    ServerSubset inUse = formed;
  }

  ServerCandidates(
      GatewayContext context,
      Directory directory,
      ServerHealth health,
      Supplier<List<MemberBeat>> liveNodes) {
    this.context = Objects.requireNonNull(context, "context");
    this.directory = Objects.requireNonNull(directory, "directory");
    this.health = Objects.requireNonNull(health, "health");
    this.liveNodes = Objects.requireNonNull(liveNodes, "liveNodes");
    this.self = new Member(context.settings().node(), context.settings().zone());
    this.picker = new ServerPicker(health, this::isNear);
  }

  /** Chooses among the servers given by {@link #of}. */
  ServerPicker picker() {
    return picker;
  }

  /** Servers that a request may be sent to now, in this node's order of preference. */
  List<ServerEntry> of(String name, ForwardPlan plan) {
    Service service = services.computeIfAbsent(name, key -> new Service());
    refresh(name, service);
    long now = context.now();
    int peak = service.use.mark(inProgress(service) + 1, now);
    service.inUse = service.formed.forUse(peak, service.turn++);
    List<ServerEntry> servers =
        service.inUse.candidates(
            server -> !plan.hasTried(server.start()) && picker.isGood(server, service.ready, now));
    if (servers.size() > service.inUse.size()) {
      context.metrics().subsetsWidened.increment();
    }
    return servers;
  }

  private void refresh(String name, Service service) {
    List<ServerEntry> ready = directory.servers().readyOf(name);
    List<Member> live = liveMembers();
    boolean isSameFleet = live.equals(service.nodes);
    if (isSameFleet && ready.equals(service.ready)) {
      return;
    }
    boolean isSameServers = ServerSubset.giveSameSubsets(ready, service.ready);
    service.ready = ready;
    service.nodes = live;
    if (isSameFleet && isSameServers) {
      // Entries change often, with each new version of weights; subsets do not depend on that.
      service.formed = service.formed.withEntries(ready);
      return;
    }
    // Kept only while servers are the same, so that a new server becomes the first choice of some.
    ServerSubset formed = ServerSubset.of(self, live, ready);
    service.formed = isSameServers ? formed.keepingFirstOf(service.formed) : formed;
    LOG.atDebug()
        .addKeyValue("service", name)
        .addKeyValue("nodes", live.size())
        .addKeyValue("servers", ready.size())
        .addKeyValue("size", service.formed.size())
        .log("subset: formed");
  }

  /** Computed once per list of beats; each beat brings a new list. */
  private List<Member> liveMembers() {
    List<MemberBeat> beats = liveNodes.get();
    if (beats != beatsSeen) {
      beatsSeen = beats;
      nodes = beats.stream().map(beat -> new Member(beat.node(), beat.zone())).toList();
    }
    return nodes;
  }

  private int inProgress(Service service) {
    return service.ready.stream().mapToInt(server -> health.inProgress(server.start())).sum();
  }

  /** All servers of a subset count as near: the subset has been chosen by zone already. */
  private boolean isNear(ServerEntry server) {
    Service service = services.get(server.service());
    return server.zone().equals(self.zone())
        || (service != null
            && service.inUse.isNarrowed()
            && service.inUse.contains(server.start()));
  }
}
