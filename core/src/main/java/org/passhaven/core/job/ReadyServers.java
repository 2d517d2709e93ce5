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
import org.passhaven.core.backend.ServerIncarnation;

/**
 * Servers that accept new work and the announced weight versions, fixed for one scheduling round.
 */
final class ReadyServers {
  private final Map<ServerIncarnation, ServerEntry> byIncarnation = new LinkedHashMap<>();
  private final Map<String, List<ServerEntry>> byService;
  private final Map<String, AnnouncedVersion> announcedVersions;

  ReadyServers(Collection<ServerEntry> servers, Map<String, AnnouncedVersion> named) {
    this.announcedVersions = Objects.requireNonNull(named, "named");
    servers.stream()
        .filter(ServerEntry::ready)
        .forEach(server -> byIncarnation.put(server.incarnation(), server));
    byService =
        byIncarnation.values().stream()
            .collect(
                Collectors.groupingBy(ServerEntry::service, TreeMap::new, Collectors.toList()));
  }

  Set<ServerIncarnation> incarnations() {
    return byIncarnation.keySet();
  }

  /** Returns the entry of a server; null if it accepts no new work. */
  ServerEntry get(ServerIncarnation incarnation) {
    return byIncarnation.get(incarnation);
  }

  Set<String> services() {
    return byService.keySet();
  }

  List<ServerEntry> of(String service) {
    return byService.getOrDefault(service, List.of());
  }

  List<ServerIncarnation> incarnationsOf(String service) {
    return of(service).stream().map(ServerEntry::incarnation).toList();
  }

  /** Returns the newest announced weight version of a model; zero if there is none. */
  long newestVersionOf(String model) {
    AnnouncedVersion newest = announcedVersions.get(model);
    return newest == null ? 0 : newest.version();
  }

  /** Returns whether a server has older weights than the newest announced ones of a model. */
  boolean lacksNewestWeights(ServerEntry server, String model) {
    return server.versionOf(model) < newestVersionOf(model);
  }

  /** Returns the newest announced version of a model if a server does not hold it. */
  Optional<AnnouncedVersion> missingVersion(ServerEntry server, String model) {
    return lacksNewestWeights(server, model)
        ? Optional.of(announcedVersions.get(model))
        : Optional.empty();
  }

  /** Returns the newest version of a model if a server is expected to load it soon. */
  Optional<AnnouncedVersion> versionToLoad(ServerEntry server, String model, long nowMillis) {
    return missingVersion(server, model)
        .filter(newest -> !newest.isOverdueAt(server.versionOf(model), nowMillis));
  }

  /** Returns whether a server should have loaded newer weights of a model by now. */
  boolean hasOverdueWeights(ServerEntry server, String model, long nowMillis) {
    AnnouncedVersion newest = announcedVersions.get(model);
    return newest != null && newest.isOverdueAt(server.versionOf(model), nowMillis);
  }
}
