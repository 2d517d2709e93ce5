package org.passhaven.node.backend;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.passhaven.node.NodeContext;
import org.passhaven.spi.MachineList.Kind;
import org.passhaven.spi.MachineList.Listing;
import org.passhaven.spi.MachineList.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Keeps the newest machine list. A list that can't be read is kept as it was. */
public final class MachineWatcher {
  private static final Logger LOG = LoggerFactory.getLogger(MachineWatcher.class);
  private static final long NO_VERSION = -1;
  private static final long LIMIT_MILLIS = 2_000;
  private static final long MOST_AGE_MILLIS = 3_500;
  private final NodeContext context;
  private final List<Consumer<List<Machine>>> listeners = new ArrayList<>();
  private final List<Runnable> waiting = new ArrayList<>();
  private Map<Kind, Map<String, List<Machine>>> machines = Map.of();
  private long version = NO_VERSION;
  private final Map<String, Machine> byId = new TreeMap<>();
  private boolean fetching;
  private long askedAtMillis = Long.MIN_VALUE / 2;

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
    context.timers().every(context.settings().machineListInterval().toMillis(), this::fetch);
  }

  /** Machines of a kind and group. */
  public List<Machine> machinesOf(Kind kind, String group) {
    return machines.getOrDefault(kind, Map.of()).getOrDefault(group, List.of());
  }

  /**
   * Whether the platform was asked for the list a short while ago, by this node's clock. A node
   * that wakes from a pause holds an old list without knowing it, and must ask before it sends new
   * work.
   */
  public boolean isCurrent() {
    return context.timers().nowMillis() - askedAtMillis <= MOST_AGE_MILLIS;
  }

  /** Runs {@code task} now if the list is current, else once the platform was asked again. */
  public void whenCurrent(Runnable task) {
    if (isCurrent()) {
      task.run();
      return;
    }
    waiting.add(task);
    fetch();
  }

  private void fetch() {
    if (fetching) {
      return;
    }
    fetching = true;
    long sentAtMillis = context.timers().nowMillis();
    context
        .timers()
        .withTimeout(context.platform().machines().fetch(version), LIMIT_MILLIS, "machine list")
        .subscribe()
        .with(listing -> onListing(listing, sentAtMillis), this::onFailure);
  }

  private void onFailure(Throwable failure) {
    LOG.debug("machines: the list can't be read: {}", failure.getMessage());
    // A list that can't be had is no reason to stop serving.
    onAsked(context.timers().nowMillis());
  }

  private void onListing(Listing listing, long sentAtMillis) {
    boolean changed =
        listing.whole() || !listing.machines().isEmpty() || !listing.removed().isEmpty();
    version = listing.version();
    if (changed) {
      take(listing);
    }
    // An answer that waited through a pause of this node is as old as its request.
    onAsked(sentAtMillis);
  }

  private void take(Listing listing) {
    if (listing.whole()) {
      byId.clear();
    }
    listing.removed().forEach(byId::remove);
    listing.machines().forEach(machine -> byId.put(machine.id(), machine));
    List<Machine> all = List.copyOf(byId.values());
    machines =
        all.stream()
            .collect(Collectors.groupingBy(Machine::kind, Collectors.groupingBy(Machine::group)));
    listeners.forEach(listener -> listener.accept(all));
  }

  private void onAsked(long atMillis) {
    fetching = false;
    askedAtMillis = atMillis;
    if (!isCurrent()) {
      fetch();
      return;
    }
    List<Runnable> ready = List.copyOf(waiting);
    waiting.clear();
    ready.forEach(Runnable::run);
  }
}
