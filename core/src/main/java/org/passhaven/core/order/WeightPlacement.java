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
import org.passhaven.core.backend.ServerStart;

/**
 * Decides which servers of a service are to hold the newest weights of which model. Models that
 * share a service get an equal part of its servers each, and more while many of their items wait:
 * each load takes a server's time, so loading every version of every model everywhere leaves all of
 * them late. A model keeps the servers that it has. Pure.
 */
public final class WeightPlacement {
  private static final double ITEMS_PER_SLOT = 3.0;
  private final ToLongBiFunction<ServerEntry, String> heldVersion;

  /** Creates the decision; {@code heldVersion} gives the version of a model at a server. */
  public WeightPlacement(ToLongBiFunction<ServerEntry, String> heldVersion) {
    this.heldVersion = Objects.requireNonNull(heldVersion, "heldVersion");
  }

  /**
   * Models that each server is to hold in their newest version.
   *
   * @param servers servers that may be ordered
   * @param models models that are trained
   * @param openItems items that wait or generate, by model
   */
  public Map<ServerStart, Set<String>> place(
      Collection<ServerEntry> servers, Collection<String> models, Map<String, Integer> openItems) {
    Map<String, List<ServerEntry>> byService =
        servers.stream()
            .filter(ServerEntry::ready)
            .collect(
                Collectors.groupingBy(ServerEntry::service, TreeMap::new, Collectors.toList()));
    Map<ServerStart, Set<String>> placed = new HashMap<>();
    byService.values().forEach(service -> placeService(service, models, openItems, placed));
    return placed;
  }

  private void placeService(
      List<ServerEntry> service,
      Collection<String> models,
      Map<String, Integer> openItems,
      Map<ServerStart, Set<String>> placed) {
    Set<String> served = new TreeSet<>();
    service.forEach(server -> served.addAll(server.versions().keySet()));
    served.retainAll(models);
    if (served.isEmpty()) {
      return;
    }
    int equalPart = Math.max(1, service.size() / served.size());
    for (String model : served) {
      grow(service, model, equalPart, placed);
    }
    for (String model : served) {
      grow(service, model, neededFor(service, openItems.getOrDefault(model, 0)), placed);
    }
  }

  /** Servers that a model needs for its open items to end in a few rounds. */
  private static int neededFor(List<ServerEntry> service, int openItems) {
    double slots = service.stream().mapToInt(ServerEntry::slots).average().orElse(1);
    return (int) Math.ceil(openItems / (ITEMS_PER_SLOT * Math.max(1, slots)));
  }

  /** Gives a model servers until it has {@code wanted}: those with the fewest models first. */
  private void grow(
      List<ServerEntry> service, String model, int wanted, Map<ServerStart, Set<String>> placed) {
    long have = service.stream().filter(server -> modelsAt(server, placed).contains(model)).count();
    service.stream()
        .filter(server -> server.versions().containsKey(model))
        .filter(server -> !modelsAt(server, placed).contains(model))
        .sorted(
            Comparator.comparingInt((ServerEntry server) -> modelsAt(server, placed).size())
                .thenComparingLong(server -> -heldVersion.applyAsLong(server, model))
                .thenComparing(ServerEntry::start))
        .limit(Math.max(0, wanted - have))
        .toList()
        .forEach(
            server -> placed.computeIfAbsent(server.start(), key -> new HashSet<>()).add(model));
  }

  private static Set<String> modelsAt(ServerEntry server, Map<ServerStart, Set<String>> placed) {
    return placed.getOrDefault(server.start(), Set.of());
  }
}
