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

/**
 * Polls the machine list and keeps the last one that was read, also when a fetch fails. {@link
 * #whenCurrent} delays new work until the list is current. Used on the node's thread.
 */
public final class MachineWatcher {
  private static final Logger LOG = LoggerFactory.getLogger(MachineWatcher.class);
  private static final long NO_VERSION = -1;
  private static final long FETCH_TIMEOUT_MILLIS = 2_000;
  private static final long MAX_AGE_MILLIS = 3_500;
  private final NodeContext context;
  private final List<Consumer<List<Machine>>> listeners = new ArrayList<>();
  private final List<Runnable> waitingTasks = new ArrayList<>();
  private Map<Kind, Map<String, List<Machine>>> machines = Map.of();
  private long version = NO_VERSION;
  private final Map<String, Machine> byId = new TreeMap<>();
  private boolean fetching;
  private long lastFetchMillis = Long.MIN_VALUE / 2;

  /** Creates a watcher with an empty list. */
  public MachineWatcher(NodeContext context) {
    this.context = Objects.requireNonNull(context, "context");
  }

  /** Adds a listener that is called with each changed list. */
  public void addListener(Consumer<List<Machine>> listener) {
    listeners.add(listener);
  }

  /** Starts polling the list. */
  public void start() {
    fetch();
    context.timers().every(context.settings().machineListInterval().toMillis(), this::fetch);
  }

  /** Returns the machines of a kind and group. */
  public List<Machine> machinesOf(Kind kind, String group) {
    return machines.getOrDefault(kind, Map.of()).getOrDefault(group, List.of());
  }

  /**
   * Returns whether the list was fetched recently by the local clock; a failed fetch counts too.
   * After a suspension of the node, the list must be fetched again before new work is sent.
   */
  public boolean isCurrent() {
    return context.timers().nowMillis() - lastFetchMillis <= MAX_AGE_MILLIS;
  }

  /** Runs {@code task} now if the list is current, otherwise after the next fetch. */
  public void whenCurrent(Runnable task) {
    if (isCurrent()) {
      task.run();
      return;
    }
    waitingTasks.add(task);
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
        .withTimeout(
            context.platform().machines().fetch(version), FETCH_TIMEOUT_MILLIS, "machine list")
        .subscribe()
        .with(listing -> onListing(listing, sentAtMillis), this::onFailure);
  }

  private void onFailure(Throwable failure) {
    LOG.debug("machines: the list can't be read: {}", failure.getMessage());
    // A failed fetch counts too, so that the node continues to serve with the last list it read.
    onFetched(context.timers().nowMillis());
  }

  private void onListing(Listing listing, long sentAtMillis) {
    boolean isChanged =
        listing.whole() || !listing.machines().isEmpty() || !listing.removed().isEmpty();
    version = listing.version();
    if (isChanged) {
      applyListing(listing);
    }
    // The response may have waited through a suspension of this node, so its age counts from the
    // request.
    onFetched(sentAtMillis);
  }

  private void applyListing(Listing listing) {
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

  private void onFetched(long fetchedAtMillis) {
    fetching = false;
    lastFetchMillis = fetchedAtMillis;
    if (!isCurrent()) {
      fetch();
      return;
    }
    List<Runnable> ready = List.copyOf(waitingTasks);
    waitingTasks.clear();
    ready.forEach(Runnable::run);
  }
}
