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
import org.passhaven.core.backend.ServerStart;

/**
 * Chooses which servers load which weight version next, of those that {@link WeightPlacement}
 * wants. Few load at once, since more slow each other; the model whose newest version fewest
 * servers have goes first. Times in monotonic milliseconds. Not thread-safe.
 */
public final class VersionOrderPlanner {
  /** A version that a server is to load. */
  public record Wanted(ServerEntry server, String model, long version) {}

  private final LoadLimit limit;
  private final Map<ServerStart, Wanted> loading = new TreeMap<>();
  private final Map<ServerStart, Long> notBeforeMillis = new HashMap<>();
  private final Map<ServerStart, Long> suspectUntilMillis = new HashMap<>();
  private final WeightPlacement placement = new WeightPlacement(ServerEntry::versionOf);

  /**
   * Creates a planner that lets as many servers of a service load at a time as {@code limit} says.
   */
  public VersionOrderPlanner(LoadLimit limit) {
    this.limit = Objects.requireNonNull(limit, "limit");
  }

  /** All loads that are due and not under way. */
  public List<Wanted> due(Collection<ServerEntry> servers, WeightDemand demand, long nowMillis) {
    List<ServerEntry> sound =
        servers.stream()
            .filter(
                server ->
                    nowMillis >= suspectUntilMillis.getOrDefault(server.start(), Long.MIN_VALUE))
            .toList();
    Map<ServerStart, Set<String>> placed =
        placement.place(sound, demand.newestVersions().keySet(), demand.openItems());
    List<Wanted> due = new ArrayList<>();
    for (ServerEntry server : sound) {
      for (String model : new TreeSet<>(placed.getOrDefault(server.start(), Set.of()))) {
        long version = demand.newestVersions().get(model);
        if (server.versionOf(model) < version && !loading.containsKey(server.start())) {
          due.add(new Wanted(server, model, version));
        }
      }
    }
    return due;
  }

  /** Whether some order is due or under way. */
  public boolean isNeeded(Collection<ServerEntry> servers, WeightDemand demand, long nowMillis) {
    return !loading.isEmpty() || !due(servers, demand, nowMillis).isEmpty();
  }

  /** Loads to begin now; they count as under way until {@link #onDone} or {@link #onFailed}. */
  public List<Wanted> begin(Collection<ServerEntry> servers, WeightDemand demand, long nowMillis) {
    forgetOld(nowMillis);
    loading.keySet().removeIf(start -> servers.stream().noneMatch(s -> s.start().equals(start)));
    List<Wanted> begun = new ArrayList<>();
    while (true) {
      List<Wanted> due =
          due(servers, demand, nowMillis).stream()
              .filter(wanted -> mayBegin(wanted.server(), servers, nowMillis))
              .toList();
      if (due.isEmpty()) {
        return begun;
      }
      Wanted next =
          due.stream()
              .min(
                  Comparator.comparingLong((Wanted wanted) -> served(servers, wanted))
                      .thenComparing(wanted -> wanted.server().versionOf(wanted.model()))
                      .thenComparing(wanted -> wanted.server().start()))
              .orElseThrow();
      loading.put(next.server().start(), next);
      begun.add(next);
    }
  }

  private boolean mayBegin(ServerEntry server, Collection<ServerEntry> servers, long nowMillis) {
    long sameService =
        servers.stream().filter(other -> other.service().equals(server.service())).count();
    long loadingNow =
        loading.values().stream()
            .filter(wanted -> wanted.server().service().equals(server.service()))
            .count();
    return loadingNow < limit.of(sameService)
        && nowMillis >= notBeforeMillis.getOrDefault(server.start(), Long.MIN_VALUE);
  }

  /** Servers that have the wanted version or are loading it. */
  private long served(Collection<ServerEntry> servers, Wanted wanted) {
    long having =
        servers.stream()
            .filter(server -> server.versionOf(wanted.model()) >= wanted.version())
            .count();
    long loadingIt =
        loading.values().stream().filter(other -> other.model().equals(wanted.model())).count();
    return having + loadingIt;
  }

  /** A load has ended well. */
  public void onDone(ServerStart start) {
    loading.remove(start);
  }

  /** A load came to nothing; the server is left alone until {@code retryAtMillis}. */
  public void onFailed(ServerStart start, long retryAtMillis) {
    loading.remove(start);
    notBeforeMillis.put(start, retryAtMillis);
  }

  /** A server gave no answer; other servers take its place until {@code retryAtMillis}. */
  public void onUnreachable(ServerStart start, long retryAtMillis) {
    onFailed(start, retryAtMillis);
    suspectUntilMillis.put(start, retryAtMillis);
  }

  private void forgetOld(long nowMillis) {
    notBeforeMillis.values().removeIf(until -> until <= nowMillis);
    suspectUntilMillis.values().removeIf(until -> until <= nowMillis);
  }

  /** Forgets all loads under way and all failures. */
  public void reset() {
    loading.clear();
    notBeforeMillis.clear();
    suspectUntilMillis.clear();
  }
}
