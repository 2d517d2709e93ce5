package org.passhaven.core.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * The registration of one server incarnation, as the server published it.
 *
 * @param incarnation incarnation of the server that published this entry
 * @param slots number of requests that the server processes concurrently
 * @param ready whether the server accepts new requests
 * @param versions weight version by model; empty if the server has no models
 * @param coldMillis remaining time for which the server was cold when it published this entry; zero
 *     if it was warm
 */
public record ServerEntry(
    ServerIncarnation incarnation,
    String service,
    String address,
    String zone,
    int slots,
    boolean ready,
    Map<String, Long> versions,
    long coldMillis) {
  public ServerEntry {
    Objects.requireNonNull(incarnation, "incarnation");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(zone, "zone");
    versions = Map.copyOf(versions);
    if (coldMillis < 0) {
      throw new IllegalArgumentException("cold time must not be negative, but is " + coldMillis);
    }
  }

  /** Creates the entry of a warm server. */
  public ServerEntry(
      ServerIncarnation incarnation,
      String service,
      String address,
      String zone,
      int slots,
      boolean ready,
      Map<String, Long> versions) {
    this(incarnation, service, address, zone, slots, ready, versions, 0);
  }

  /**
   * Returns this entry with each version raised to at least the given one; versions never decrease
   * within one incarnation.
   */
  public ServerEntry withMinVersions(Map<String, Long> lowerBounds) {
    Map<String, Long> merged = new HashMap<>(versions);
    lowerBounds.forEach((model, version) -> merged.merge(model, version, Math::max));
    return new ServerEntry(incarnation, service, address, zone, slots, ready, merged, coldMillis);
  }

  /** Returns the weight version of a model, or zero if the server does not report serving it. */
  public long versionOf(String model) {
    return versions.getOrDefault(model, 0L);
  }
}
