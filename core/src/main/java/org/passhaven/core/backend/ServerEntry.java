package org.passhaven.core.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * One start of a server, as it lists itself.
 *
 * @param start the start that this entry is of
 * @param slots requests that it works on at once
 * @param ready whether it takes new work
 * @param versions weight version by model; empty for servers without models
 */
public record ServerEntry(
    ServerStart start,
    String service,
    String address,
    String zone,
    int slots,
    boolean ready,
    Map<String, Long> versions) {
  public ServerEntry {
    Objects.requireNonNull(start, "start");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(zone, "zone");
    versions = Map.copyOf(versions);
  }

  /** The same entry with none of the versions lower than given; one start never goes back. */
  public ServerEntry withAtLeast(Map<String, Long> told) {
    Map<String, Long> merged = new HashMap<>(versions);
    told.forEach((model, version) -> merged.merge(model, version, Math::max));
    return new ServerEntry(start, service, address, zone, slots, ready, merged);
  }

  /** Weight version of a model; zero if the server does not say that it serves it. */
  public long versionOf(String model) {
    return versions.getOrDefault(model, 0L);
  }
}
