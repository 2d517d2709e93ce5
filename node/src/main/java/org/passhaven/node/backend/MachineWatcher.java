package org.passhaven.node.backend;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import org.passhaven.node.NodeContext;
import org.passhaven.platform.MachineList;
import org.passhaven.platform.MachineList.Listing;
import org.passhaven.platform.MachineList.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Keeps the newest machine list. A list that can't be read is kept as it was. */
public final class MachineWatcher {
  private static final Logger LOG = LoggerFactory.getLogger(MachineWatcher.class);
  private static final long NO_VERSION = -1;
  private static final long LIMIT_MILLIS = 3_000;
  private final NodeContext context;
  private final List<Consumer<List<Machine>>> listeners = new ArrayList<>();
  private List<Machine> machines = List.of();
  private long version = NO_VERSION;
  private boolean fetching;

  /** Creates a watcher. */
  public MachineWatcher(NodeContext context) {
    this.context = Objects.requireNonNull(context, "context");
  }

  /** Calls {@code listener} with each new list. */
  public void addListener(Consumer<List<Machine>> listener) {
    listeners.add(listener);
  }

  /** Begins to watch. */
  public void start() {
    fetch();
    context.timers().every(context.settings().machineListPeriod().toMillis(), this::fetch);
  }

  /** Machines of a kind and group. */
  public List<Machine> of(MachineList.Kind kind, String group) {
    return machines.stream()
        .filter(machine -> machine.kind() == kind && machine.group().equals(group))
        .toList();
  }

  private void fetch() {
    if (fetching) {
      return;
    }
    fetching = true;
    context
        .timers()
        .limit(context.platform().machines().fetch(version), LIMIT_MILLIS, "machine list")
        .subscribe()
        .with(
            this::onListing,
            failure -> {
              fetching = false;
              LOG.debug("machines: the list can't be read: {}", failure.getMessage());
            });
  }

  private void onListing(Listing listing) {
    fetching = false;
    if (!listing.changed() || listing.version() == version) {
      return;
    }
    version = listing.version();
    machines = listing.machines();
    listeners.forEach(listener -> listener.accept(machines));
  }
}
