package org.passhaven.node.backend;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.passhaven.core.routing.BackEndHealth;
import org.passhaven.core.routing.ServiceView;
import org.passhaven.node.NodeContext;
import org.passhaven.protocol.ServerId;
import org.passhaven.spi.MachineList;
import org.passhaven.spi.MachineList.Machine;

/**
 * Tracks this node's outstanding requests on service servers and the health of these servers. Used
 * on the node's thread.
 */
public final class ServiceDirectory {
  private final NodeContext context;
  private final MachineWatcher machines;
  private final Map<ServerId, ServerState> servers = new HashMap<>();

  /** Creates a directory of the service servers in the machine list. */
  public ServiceDirectory(NodeContext context, MachineWatcher machines) {
    this.context = Objects.requireNonNull(context, "context");
    this.machines = Objects.requireNonNull(machines, "machines");
  }

  /** Runs {@code task} once the machine list is recent enough to place new work. */
  public void whenCurrent(Runnable task) {
    machines.whenCurrent(task);
  }

  /** Returns the live servers of a group. */
  public List<ServiceView> views(String group) {
    long now = context.timers().nowMillis();
    return machines.machinesOf(MachineList.Kind.SERVICE, group).stream()
        .filter(machine -> machine.state() == MachineList.State.LIVE)
        .map(machine -> view(machine, now))
        .toList();
  }

  private ServiceView view(Machine machine, long now) {
    ServerState state = stateOf(new ServerId(machine.id()));
    return new ServiceView(
        new ServerId(machine.id()),
        machine.address(),
        machine.zone(),
        state.outstanding,
        now < state.backoffUntilMillis ? 0 : state.health.loadShare(now));
  }

  /** Records that a request was sent to a server. */
  public void onRequestStarted(ServerId server) {
    stateOf(server).outstanding++;
  }

  /** Records that a server answered a request. */
  public void onRequestAnswered(ServerId server) {
    ServerState state = stateOf(server);
    state.outstanding--;
    state.health.onSuccess(context.timers().nowMillis());
  }

  /** Records that a request failed on the connection or in the server. */
  public void onRequestFailed(ServerId server) {
    ServerState state = stateOf(server);
    state.outstanding--;
    state.health.onFailure(context.timers().nowMillis());
  }

  /**
   * Records that a server rejected a request because it is leaving or full; it gets no requests
   * during the backoff.
   */
  public void onRequestRejected(ServerId server) {
    ServerState state = stateOf(server);
    state.outstanding--;
    state.backoffUntilMillis = context.timers().nowMillis() + ServerState.REFUSAL_BACKOFF_MILLIS;
  }

  private ServerState stateOf(ServerId server) {
    return servers.computeIfAbsent(server, ignored -> new ServerState());
  }

  private static final class ServerState {
    static final long REFUSAL_BACKOFF_MILLIS = 500;
    final BackEndHealth health = new BackEndHealth();
    int outstanding;
    long backoffUntilMillis = Long.MIN_VALUE;
  }
}
