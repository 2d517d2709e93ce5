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

/** What this node knows of service servers: own requests on them and their health. */
public final class ServiceDirectory {
  private final NodeContext context;
  private final MachineWatcher machines;
  private final Map<ServerId, Known> servers = new HashMap<>();

  /** Creates a directory over the machine list. */
  public ServiceDirectory(NodeContext context, MachineWatcher machines) {
    this.context = Objects.requireNonNull(context, "context");
    this.machines = Objects.requireNonNull(machines, "machines");
  }

  /** Runs {@code task} once the machine list is fresh enough to send new work by. */
  public void whenCurrent(Runnable task) {
    machines.whenCurrent(task);
  }

  /** Servers of a group that stay. */
  public List<ServiceView> views(String group) {
    long now = context.timers().nowMillis();
    return machines.machinesOf(MachineList.Kind.SERVICE, group).stream()
        .filter(machine -> machine.state() == MachineList.State.LIVE)
        .map(machine -> view(machine, now))
        .toList();
  }

  private ServiceView view(Machine machine, long now) {
    Known known = known(new ServerId(machine.id()));
    return new ServiceView(
        new ServerId(machine.id()),
        machine.address(),
        machine.zone(),
        known.outstanding,
        now < known.refusingUntilMillis ? 0 : known.health.loadShare(now));
  }

  /** A request went to a server. */
  public void onRequestStarted(ServerId server) {
    known(server).outstanding++;
  }

  /** A request was answered. */
  public void onRequestAnswered(ServerId server) {
    Known known = known(server);
    known.outstanding--;
    known.health.onSuccess(context.timers().nowMillis());
  }

  /** A request failed on the way or in the server. */
  public void onRequestFailed(ServerId server) {
    Known known = known(server);
    known.outstanding--;
    known.health.onFailure(context.timers().nowMillis());
  }

  /**
   * The server said that it did not run a request: it leaves or is full, so it gets nothing for a
   * while.
   */
  public void onRequestRejected(ServerId server) {
    Known known = known(server);
    known.outstanding--;
    known.refusingUntilMillis = context.timers().nowMillis() + Known.REFUSAL_PAUSE_MILLIS;
  }

  private Known known(ServerId server) {
    return servers.computeIfAbsent(server, ignored -> new Known());
  }

  private static final class Known {
    static final long REFUSAL_PAUSE_MILLIS = 500;
    final BackEndHealth health = new BackEndHealth();
    int outstanding;
    long refusingUntilMillis = Long.MIN_VALUE;
  }
}
