package org.passhaven.core.job;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerStart;

/**
 * Servers that take new work, and the weight versions named, as one round of decisions sees them.
 */
final class ReadyServers {
  private final Map<ServerStart, ServerEntry> byStart = new LinkedHashMap<>();
  private final Map<String, List<ServerEntry>> byService;
  private final Map<String, NamedVersion> announcedVersions;

  ReadyServers(Collection<ServerEntry> servers, Map<String, NamedVersion> named) {
    this.announcedVersions = Objects.requireNonNull(named, "named");
    servers.stream()
        .filter(ServerEntry::ready)
        .forEach(server -> byStart.put(server.start(), server));
    byService =
        byStart.values().stream()
            .collect(
                Collectors.groupingBy(ServerEntry::service, TreeMap::new, Collectors.toList()));
  }

  Set<ServerStart> starts() {
    return byStart.keySet();
  }

  /** The entry of a server; null if it takes no new work. */
  ServerEntry get(ServerStart start) {
    return byStart.get(start);
  }

  Set<String> services() {
    return byService.keySet();
  }

  List<ServerEntry> of(String service) {
    return byService.getOrDefault(service, List.of());
  }

  List<ServerStart> startsOf(String service) {
    return of(service).stream().map(ServerEntry::start).toList();
  }

  /** Newest named weight version of a model; zero if none is named. */
  long newestVersionOf(String model) {
    NamedVersion newest = announcedVersions.get(model);
    return newest == null ? 0 : newest.version();
  }

  /** Whether a server does not hold the newest weights of a model, so that it will load them. */
  boolean lacksNewestWeights(ServerEntry server, String model) {
    return server.versionOf(model) < newestVersionOf(model);
  }

  /** Newest weights of a model, if a server does not hold them. */
  Optional<NamedVersion> missingVersion(ServerEntry server, String model) {
    return lacksNewestWeights(server, model)
        ? Optional.of(announcedVersions.get(model))
        : Optional.empty();
  }

  /** Newest weights of a model that were just named, if a server may begin to load them. */
  Optional<NamedVersion> versionToLoad(ServerEntry server, String model, long nowMillis) {
    return missingVersion(server, model)
        .filter(newest -> !newest.isOverdueAt(server.versionOf(model), nowMillis));
  }

  /** Whether a server still holds older weights of a model though newer ones are overdue. */
  boolean hasOverdueWeights(ServerEntry server, String model, long nowMillis) {
    NamedVersion newest = announcedVersions.get(model);
    return newest != null && newest.isOverdueAt(server.versionOf(model), nowMillis);
  }
}
