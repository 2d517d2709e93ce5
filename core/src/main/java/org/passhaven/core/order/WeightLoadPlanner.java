package org.passhaven.core.order;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;

/**
 * Plans which servers load which weight version next, following the placement of {@link
 * WeightPlacement}. Only a limited number load concurrently, since loads slow each other down; the
 * model whose newest version is on the fewest servers goes first. Times are in monotonic
 * milliseconds. Not thread-safe.
 */
public final class WeightLoadPlanner {
  /** A version of a model's weights that a server is to load. */
  public record WeightLoad(ServerEntry server, String model, long version) {}

  private final ConcurrentLoadLimit limit;
  private final Map<ServerIncarnation, WeightLoad> loading = new TreeMap<>();
  private final Map<ServerIncarnation, Long> notBeforeMillis = new HashMap<>();
  private final Map<ServerIncarnation, Long> unreachableUntilMillis = new HashMap<>();
  private final WeightPlacement placement = new WeightPlacement(ServerEntry::versionOf);

  /** Creates a planner with a limit on the concurrent loads of a service. */
  public WeightLoadPlanner(ConcurrentLoadLimit limit) {
    this.limit = Objects.requireNonNull(limit, "limit");
  }

  /**
   * Returns the loads that are needed on servers without a load in progress, including those that
   * wait for a retry or for the limit. Servers that recently did not respond are left out.
   */
  public List<WeightLoad> dueLoads(
      Collection<ServerEntry> servers, WeightDemand demand, long nowMillis) {
    List<ServerEntry> reachable =
        servers.stream()
            .filter(
                server ->
                    nowMillis
                        >= unreachableUntilMillis.getOrDefault(
                            server.incarnation(), Long.MIN_VALUE))
            .toList();
    Map<ServerIncarnation, Set<String>> placed =
        placement.place(reachable, demand.newestVersions().keySet(), demand.openItems());
    List<WeightLoad> dueLoads = new ArrayList<>();
    for (ServerEntry server : reachable) {
      for (String model : new TreeSet<>(placed.getOrDefault(server.incarnation(), Set.of()))) {
        long version = demand.newestVersions().get(model);
        if (server.versionOf(model) < version && !loading.containsKey(server.incarnation())) {
          dueLoads.add(new WeightLoad(server, model, version));
        }
      }
    }
    return dueLoads;
  }

  /** Returns whether a load is due or in progress. */
  public boolean hasWork(Collection<ServerEntry> servers, WeightDemand demand, long nowMillis) {
    return !loading.isEmpty() || !dueLoads(servers, demand, nowMillis).isEmpty();
  }

  /**
   * Starts the loads that are due and allowed now, and returns them. They count as in progress
   * until {@link #onLoaded} or {@link #onFailed}.
   */
  public List<WeightLoad> startLoads(
      Collection<ServerEntry> servers, WeightDemand demand, long nowMillis) {
    removeExpired(nowMillis);
    loading
        .keySet()
        .removeIf(
            incarnation -> servers.stream().noneMatch(s -> s.incarnation().equals(incarnation)));
    List<WeightLoad> started = new ArrayList<>();
    while (true) {
      List<WeightLoad> dueLoads =
          dueLoads(servers, demand, nowMillis).stream()
              .filter(load -> mayStart(load.server(), servers, nowMillis))
              .toList();
      if (dueLoads.isEmpty()) {
        return started;
      }
      WeightLoad next =
          dueLoads.stream()
              .min(
                  Comparator.comparingLong((WeightLoad load) -> countLoadedOrLoading(servers, load))
                      .thenComparing(load -> load.server().versionOf(load.model()))
                      .thenComparing(load -> load.server().incarnation()))
              .orElseThrow();
      loading.put(next.server().incarnation(), next);
      started.add(next);
    }
  }

  private boolean mayStart(ServerEntry server, Collection<ServerEntry> servers, long nowMillis) {
    long serversInService =
        servers.stream().filter(other -> other.service().equals(server.service())).count();
    long loadingInService =
        loading.values().stream()
            .filter(load -> load.server().service().equals(server.service()))
            .count();
    return loadingInService < limit.maxConcurrentLoads(serversInService)
        && nowMillis >= notBeforeMillis.getOrDefault(server.incarnation(), Long.MIN_VALUE);
  }

  /**
   * Returns the number of servers that have the version or are loading any version of the model.
   */
  private long countLoadedOrLoading(Collection<ServerEntry> servers, WeightLoad load) {
    long loadedCount =
        servers.stream().filter(server -> server.versionOf(load.model()) >= load.version()).count();
    long loadingCount =
        loading.values().stream().filter(other -> other.model().equals(load.model())).count();
    return loadedCount + loadingCount;
  }

  /** Records that a server has completed its load. */
  public void onLoaded(ServerIncarnation incarnation) {
    loading.remove(incarnation);
  }

  /** Records a failed load; the server gets no load before {@code retryAtMillis}. */
  public void onFailed(ServerIncarnation incarnation, long retryAtMillis) {
    loading.remove(incarnation);
    notBeforeMillis.put(incarnation, retryAtMillis);
  }

  /**
   * Records that a server did not respond; other servers replace it in the placement until {@code
   * retryAtMillis}.
   */
  public void onUnreachable(ServerIncarnation incarnation, long retryAtMillis) {
    onFailed(incarnation, retryAtMillis);
    unreachableUntilMillis.put(incarnation, retryAtMillis);
  }

  private void removeExpired(long nowMillis) {
    notBeforeMillis.values().removeIf(until -> until <= nowMillis);
    unreachableUntilMillis.values().removeIf(until -> until <= nowMillis);
  }

  /** Discards all loads in progress and all failures. */
  public void reset() {
    loading.clear();
    notBeforeMillis.clear();
    unreachableUntilMillis.clear();
  }
}
