package org.passhaven.core.order;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.passhaven.core.backend.ServerEntry;

/**
 * Chooses which servers load which weight version next. Few load at once, since more slow each
 * other; the model whose newest version fewest servers have goes first. Not thread-safe.
 */
public final class VersionOrderPlanner {
  /** A version that a server is to load. */
  public record Wanted(ServerEntry server, String model, long version) {}

  private final LoadLimit limit;
  private final Map<String, Wanted> loading = new TreeMap<>();
  private final Map<String, Map<String, Long>> reached = new HashMap<>();
  private final Map<String, Long> notBefore = new HashMap<>();

  /**
   * Creates a planner that lets as many servers of a service load at a time as {@code limit} says.
   */
  public VersionOrderPlanner(LoadLimit limit) {
    this.limit = Objects.requireNonNull(limit, "limit");
  }

  /** All loads that are due and not under way. */
  public List<Wanted> due(Collection<ServerEntry> servers, Map<String, Long> newest) {
    List<Wanted> due = new ArrayList<>();
    for (ServerEntry server : servers) {
      for (String model : new TreeMap<>(server.versions()).keySet()) {
        long version = newest.getOrDefault(model, 0L);
        if (server.ready()
            && versionAt(server, model) < version
            && !loading.containsKey(server.instance())) {
          due.add(new Wanted(server, model, version));
        }
      }
    }
    return due;
  }

  /** Whether some order is due or under way. */
  public boolean isNeeded(Collection<ServerEntry> servers, Map<String, Long> newest) {
    return !loading.isEmpty() || !due(servers, newest).isEmpty();
  }

  /** Loads to begin now; they count as under way until {@link #onDone} or {@link #onFailed}. */
  public List<Wanted> begin(
      Collection<ServerEntry> servers, Map<String, Long> newest, long nowMillis) {
    loading.keySet().removeIf(name -> servers.stream().noneMatch(s -> s.instance().equals(name)));
    List<Wanted> begun = new ArrayList<>();
    while (true) {
      List<Wanted> due =
          due(servers, newest).stream()
              .filter(wanted -> mayBegin(wanted.server(), servers, nowMillis))
              .toList();
      if (due.isEmpty()) {
        return begun;
      }
      Wanted next =
          due.stream()
              .min(
                  Comparator.comparingLong((Wanted wanted) -> served(servers, wanted))
                      .thenComparing(wanted -> versionAt(wanted.server(), wanted.model()))
                      .thenComparing(wanted -> wanted.server().instance()))
              .orElseThrow();
      loading.put(next.server().instance(), next);
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
        && nowMillis >= notBefore.getOrDefault(server.instance(), Long.MIN_VALUE);
  }

  /** Servers that have the wanted version or are loading it. */
  private long served(Collection<ServerEntry> servers, Wanted wanted) {
    long having =
        servers.stream()
            .filter(server -> versionAt(server, wanted.model()) >= wanted.version())
            .count();
    long loadingIt =
        loading.values().stream().filter(other -> other.model().equals(wanted.model())).count();
    return having + loadingIt;
  }

  private long versionAt(ServerEntry server, String model) {
    long told = reached.getOrDefault(server.instance(), Map.of()).getOrDefault(model, 0L);
    return Math.max(told, server.versionOf(model));
  }

  /** A server told that it serves a version of a model. */
  public void onVersion(String instance, String model, long version) {
    reached.computeIfAbsent(instance, name -> new HashMap<>()).merge(model, version, Math::max);
  }

  /** A load has ended well. */
  public void onDone(String instance) {
    loading.remove(instance);
  }

  /** A load came to nothing; the server is left alone until {@code retryAtMillis}. */
  public void onFailed(String instance, long retryAtMillis) {
    loading.remove(instance);
    notBefore.put(instance, retryAtMillis);
  }

  /** Forgets servers that are not listed any more, and all loads under way. */
  public void reset(Collection<ServerEntry> servers) {
    loading.clear();
    reached.keySet().removeIf(name -> servers.stream().noneMatch(s -> s.instance().equals(name)));
    notBefore.clear();
  }
}
