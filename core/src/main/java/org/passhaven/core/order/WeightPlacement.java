package org.passhaven.core.order;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToLongBiFunction;
import java.util.stream.Collectors;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;

/**
 * Assigns models to the servers of each service, which then hold the newest weights of these
 * models. Models that share a service get an equal part of its servers each, and more while many of
 * their items wait: each load occupies a server for some time, so loading every version of every
 * model on all servers would delay all of them. Among servers with equally many models, a model
 * prefers those that hold its newest weights. Performs no I/O.
 */
public final class WeightPlacement {
  private static final double ITEMS_PER_SLOT = 3.0;
  private final ToLongBiFunction<ServerEntry, String> heldVersion;

  /**
   * Creates a placement.
   *
   * @param heldVersion returns the version of a model that a server holds
   */
  public WeightPlacement(ToLongBiFunction<ServerEntry, String> heldVersion) {
    this.heldVersion = Objects.requireNonNull(heldVersion, "heldVersion");
  }

  /**
   * Returns the models that each server is to hold in their newest version.
   *
   * @param servers servers that may receive orders
   * @param models models that are trained
   * @param openItems number of items that wait or generate, by model
   */
  public Map<ServerIncarnation, Set<String>> place(
      Collection<ServerEntry> servers, Collection<String> models, Map<String, Integer> openItems) {
    Map<String, List<ServerEntry>> byService =
        servers.stream()
            .filter(ServerEntry::ready)
            .collect(
                Collectors.groupingBy(ServerEntry::service, TreeMap::new, Collectors.toList()));
    Map<ServerIncarnation, Set<String>> placed = new HashMap<>();
    byService.values().forEach(service -> placeService(service, models, openItems, placed));
    return placed;
  }

  private void placeService(
      List<ServerEntry> service,
      Collection<String> models,
      Map<String, Integer> openItems,
      Map<ServerIncarnation, Set<String>> placed) {
    Set<String> served = new TreeSet<>();
    service.forEach(server -> served.addAll(server.versions().keySet()));
    served.retainAll(models);
    if (served.isEmpty()) {
      return;
    }
    int equalPart = Math.max(1, service.size() / served.size());
    for (String model : served) {
      addServers(service, model, equalPart, placed);
    }
    for (String model : served) {
      addServers(service, model, serversNeeded(service, openItems.getOrDefault(model, 0)), placed);
    }
  }

  /**
   * Returns the number of servers that a model needs to have at most {@link #ITEMS_PER_SLOT} open
   * items per slot.
   */
  private static int serversNeeded(List<ServerEntry> service, int openItems) {
    double slots = service.stream().mapToInt(ServerEntry::slots).average().orElse(1);
    return (int) Math.ceil(openItems / (ITEMS_PER_SLOT * Math.max(1, slots)));
  }

  /** Adds servers to a model until it has {@code wanted}, those with the fewest models first. */
  private void addServers(
      List<ServerEntry> service,
      String model,
      int wanted,
      Map<ServerIncarnation, Set<String>> placed) {
    long assigned =
        service.stream().filter(server -> modelsAt(server, placed).contains(model)).count();
    service.stream()
        .filter(server -> server.versions().containsKey(model))
        .filter(server -> !modelsAt(server, placed).contains(model))
        .sorted(
            Comparator.comparingInt((ServerEntry server) -> modelsAt(server, placed).size())
                .thenComparingLong(server -> -heldVersion.applyAsLong(server, model))
                .thenComparing(ServerEntry::incarnation))
        .limit(Math.max(0, wanted - assigned))
        .toList()
        .forEach(
            server ->
                placed.computeIfAbsent(server.incarnation(), key -> new HashSet<>()).add(model));
  }

  private static Set<String> modelsAt(
      ServerEntry server, Map<ServerIncarnation, Set<String>> placed) {
    return placed.getOrDefault(server.incarnation(), Set.of());
  }
}
