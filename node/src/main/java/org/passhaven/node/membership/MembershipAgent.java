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

/** Sends heartbeats and carries out the decisions of the {@link MembershipTable}. */
public final class MembershipAgent {
  private static final Logger LOG = LoggerFactory.getLogger(MembershipAgent.class);
  private final NodeContext context;
  private final MembershipTable table;
  private final List<Runnable> listeners = new ArrayList<>();
  private List<NodeId> lastAlive = List.of();

  /** Creates the agent; the platform's list introduces nodes. */
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

  /** Calls {@code listener} when the set of live nodes has changed. */
  public void addListener(Runnable listener) {
    listeners.add(listener);
  }

  /** Begins to send heartbeats. */
  public void start() {
    long period = context.settings().membership().period().toMillis();
    context.timers().every(period, this::onPeriod);
  }

  /** Live nodes with this one, by name. */
  public List<MemberState> alive() {
    return table.alive();
  }

  /** All that is believed of others. */
  public List<MemberState> others() {
    return table.others();
  }

  /** The configuration in force here changed. */
  public void setRevision(long revision) {
    table.setRevision(revision);
  }

  /** Tells a few members that this node leaves. */
  public void announceLeaving() {
    table.markLeaving();
    for (int i = 0; i < 3; i++) {
      table.nextTarget().ifPresent(this::beat);
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
    table.nextTarget().ifPresent(this::beat);
    notifyIfChanged();
  }

  private void beat(MemberState target) {
    send(target, new PeerRequest.Gossip(table.self(), table.takeUpdates()))
        .subscribe()
        .with(response -> onAnswer(response), failure -> askHelper(target));
  }

  private void askHelper(MemberState target) {
    var helper = table.indirectProbeHelper(target.node());
    if (helper.isEmpty()) {
      table.onUnreachable(target.node(), context.timers().nowMillis());
      return;
    }
    PeerRequest probe = new PeerRequest.Probe(table.self(), target.node(), target.address());
    send(helper.get(), probe)
        .subscribe()
        .with(
            response -> onProbed(target, response),
            failure -> table.onUnreachable(target.node(), context.timers().nowMillis()));
  }

  private void onProbed(MemberState target, PeerResponse response) {
    boolean reached = response instanceof PeerResponse.ProbeAnswer answer && answer.reached();
    if (!reached) {
      table.onUnreachable(target.node(), context.timers().nowMillis());
    }
  }

  private Uni<PeerResponse> send(MemberState target, PeerRequest request) {
    context.metrics().peerMessages.increment();
    long limit = context.settings().membership().suspectAfter().toMillis();
    return context
        .timers()
        .withTimeout(
            context.platform().peers().call(target.address(), request, limit), limit, "heartbeat");
  }

  private void onAnswer(PeerResponse response) {
    if (response instanceof PeerResponse.GossipAnswer answer) {
      table.onMessage(answer.sender(), answer.news(), context.timers().nowMillis());
      notifyIfChanged();
    }
  }

  /** A heartbeat came in. */
  public PeerResponse onGossip(PeerRequest.Gossip gossip) {
    table.onMessage(gossip.sender(), gossip.news(), context.timers().nowMillis());
    notifyIfChanged();
    return new PeerResponse.GossipAnswer(table.self(), table.takeUpdates());
  }

  /** A node asks whether this one reaches another. */
  public Uni<PeerResponse> onProbe(PeerRequest.Probe probe) {
    MemberState target =
        new MemberState(probe.target(), probe.targetAddress(), "", 0, 0, Status.ALIVE, 0);
    return send(target, new PeerRequest.Gossip(table.self(), List.of()))
        .map(
            response -> {
              onAnswer(response);
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
