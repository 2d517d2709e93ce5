package org.passhaven.node.membership;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.passhaven.core.membership.MembershipTable;
import org.passhaven.node.NodeContext;
import org.passhaven.node.backend.MachineWatcher;
import org.passhaven.protocol.MemberState;
import org.passhaven.protocol.MemberState.Status;
import org.passhaven.protocol.NodeId;
import org.passhaven.protocol.PeerRequest;
import org.passhaven.protocol.PeerResponse;
import org.passhaven.spi.MachineList;
import org.passhaven.spi.MachineList.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges gossip heartbeats and probes with other nodes and maintains the {@link
 * MembershipTable}. Used on the node's thread.
 */
public final class MembershipAgent {
  private static final Logger LOG = LoggerFactory.getLogger(MembershipAgent.class);
  private final NodeContext context;
  private final MembershipTable table;
  private final List<Runnable> listeners = new ArrayList<>();
  private List<NodeId> lastAlive = List.of();

  /** Creates the agent; nodes are discovered from the machine list. */
  public MembershipAgent(NodeContext context, MachineWatcher machines) {
    this.context = Objects.requireNonNull(context, "context");
    MemberState self =
        new MemberState(
            context.settings().node(),
            context.settings().address(),
            context.settings().zone(),
            context.incarnation(),
            1,
            Status.ALIVE,
            0);
    this.table = new MembershipTable(self, context.settings().membership(), context.randomBelow());
    machines.addListener(this::onMachines);
  }

  /** Adds a listener that is called when the set of live nodes has changed. */
  public void addListener(Runnable listener) {
    listeners.add(listener);
  }

  /** Starts sending heartbeats periodically. */
  public void start() {
    long period = context.settings().membership().period().toMillis();
    context.timers().every(period, this::onPeriod);
  }

  /** Returns the live nodes, including this one, sorted by name. */
  public List<MemberState> alive() {
    return table.alive();
  }

  /** Returns the known states of all other nodes. */
  public List<MemberState> others() {
    return table.others();
  }

  /** Sets the revision of the active configuration, which heartbeats announce. */
  public void setRevision(long revision) {
    table.setRevision(revision);
  }

  /** Announces to a few members that this node is leaving. */
  public void announceLeaving() {
    table.markLeaving();
    for (int i = 0; i < 3; i++) {
      table.nextTarget().ifPresent(this::sendHeartbeat);
    }
    notifyIfChanged();
  }

  private void onMachines(List<Machine> machines) {
    long now = context.timers().nowMillis();
    for (Machine machine : machines) {
      if (machine.kind() == MachineList.Kind.NODE && machine.state() == MachineList.State.LIVE) {
        table.addSeed(new NodeId(machine.id()), machine.address(), machine.zone(), now);
      } else if (machine.kind() == MachineList.Kind.NODE) {
        table.onUnlisted(new NodeId(machine.id()), now);
      }
    }
    notifyIfChanged();
  }

  private void onPeriod() {
    table.onPeriod(context.timers().nowMillis());
    table.nextTarget().ifPresent(this::sendHeartbeat);
    notifyIfChanged();
  }

  private void sendHeartbeat(MemberState target) {
    send(target, new PeerRequest.Gossip(table.self(), table.takeUpdates()))
        .subscribe()
        .with(response -> onResponse(response), failure -> probeIndirectly(target));
  }

  private void probeIndirectly(MemberState target) {
    var helper = table.indirectProbeHelper(target.node());
    if (helper.isEmpty()) {
      table.onUnreachable(target.node(), context.timers().nowMillis());
      return;
    }
    PeerRequest probe = new PeerRequest.Probe(table.self(), target.node(), target.address());
    send(helper.get(), probe)
        .subscribe()
        .with(
            response -> onIndirectProbeResponse(target, response),
            failure -> table.onUnreachable(target.node(), context.timers().nowMillis()));
  }

  private void onIndirectProbeResponse(MemberState target, PeerResponse response) {
    boolean isReached = response instanceof PeerResponse.ProbeAnswer answer && answer.reached();
    if (!isReached) {
      table.onUnreachable(target.node(), context.timers().nowMillis());
    }
  }

  private Uni<PeerResponse> send(MemberState target, PeerRequest request) {
    context.metrics().peerMessages.increment();
    long timeoutMillis = context.settings().membership().suspectAfter().toMillis();
    return context
        .timers()
        .withTimeout(
            context.platform().peers().call(target.address(), request, timeoutMillis),
            timeoutMillis,
            "heartbeat");
  }

  private void onResponse(PeerResponse response) {
    if (response instanceof PeerResponse.GossipAnswer answer) {
      table.onMessage(answer.sender(), answer.news(), context.timers().nowMillis());
      notifyIfChanged();
    }
  }

  /** Handles a received heartbeat. */
  public PeerResponse onGossip(PeerRequest.Gossip gossip) {
    table.onMessage(gossip.sender(), gossip.news(), context.timers().nowMillis());
    notifyIfChanged();
    return new PeerResponse.GossipAnswer(table.self(), table.takeUpdates());
  }

  /** Probes a node on behalf of another one. */
  public Uni<PeerResponse> onProbe(PeerRequest.Probe probe) {
    MemberState target =
        new MemberState(probe.target(), probe.targetAddress(), "", 0, 0, Status.ALIVE, 0);
    return send(target, new PeerRequest.Gossip(table.self(), List.of()))
        .map(
            response -> {
              onResponse(response);
              return (PeerResponse) new PeerResponse.ProbeAnswer(true);
            })
        .onFailure()
        .recoverWithItem(new PeerResponse.ProbeAnswer(false));
  }

  private void notifyIfChanged() {
    List<NodeId> alive = table.alive().stream().map(MemberState::node).toList();
    if (!alive.equals(lastAlive)) {
      lastAlive = alive;
      LOG.debug("membership: {} nodes are alive", alive.size());
      listeners.forEach(Runnable::run);
    }
  }
}
