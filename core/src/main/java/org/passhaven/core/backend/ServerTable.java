package org.passhaven.core.backend;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Servers as the platform lists them now. Not thread-safe. */
public final class ServerTable {
  private final Map<String, ServerEntry> servers = new TreeMap<>();

  /** A server listed itself or changed its entry; versions that it told already stay. */
  public void put(ServerEntry entry) {
    ServerEntry known = servers.get(entry.instance());
    servers.put(entry.instance(), known == null ? entry : entry.withAtLeast(known.versions()));
  }

  /** A server told that it holds a version of a model, before its entry says so. */
  public void onReached(String instance, String model, long version) {
    servers.computeIfPresent(instance, (name, entry) -> entry.withAtLeast(Map.of(model, version)));
  }

  /** A server's entry is gone. */
  public void remove(String instance) {
    servers.remove(instance);
  }

  /** Keeps only the named servers: the table was listed anew. */
  public void retain(Set<String> instances) {
    servers.keySet().retainAll(instances);
  }

  /** The entry of a server; null if there is none. */
  public ServerEntry get(String instance) {
    return servers.get(instance);
  }

  /** Whether new work may go to this start of a server. */
  public boolean isReady(String instance) {
    ServerEntry entry = servers.get(instance);
    return entry != null && entry.ready();
  }

  /** Servers of a service that take new work. */
  public List<ServerEntry> readyOf(String service) {
    return servers.values().stream()
        .filter(entry -> entry.ready() && entry.service().equals(service))
        .toList();
  }

  /** All entries. */
  public Collection<ServerEntry> all() {
    return List.copyOf(servers.values());
  }
}
