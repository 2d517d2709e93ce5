package org.passhaven.core.backend;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Registry of the servers that the platform lists, with the newest incarnation of each. Not
 * thread-safe.
 */
public final class ServerTable {
  private final Map<String, ServerEntry> servers = new TreeMap<>();

  /**
   * Adds or updates the entry of a server. Versions already reported by the same incarnation are
   * kept; an entry of an earlier incarnation is ignored. An entry without a start time under the id
   * of a server that reports one comes from another writer and removes the server.
   */
  public void put(ServerEntry entry) {
    ServerIncarnation start = entry.incarnation();
    ServerEntry known = servers.get(start.id());
    if (known == null || known.incarnation().isSupersededBy(start)) {
      servers.put(start.id(), entry);
    } else if (known.incarnation().equals(start)) {
      servers.put(start.id(), entry.withMinVersions(known.versions()));
    } else if (!start.hasStartTime()) {
      servers.remove(start.id());
    }
  }

  /** Records a model version that a server reported before its entry was updated. */
  public void onVersionReached(ServerIncarnation start, String model, long version) {
    servers.computeIfPresent(
        start.id(),
        (id, entry) ->
            entry.incarnation().equals(start)
                ? entry.withMinVersions(Map.of(model, version))
                : entry);
  }

  /** Removes the entry of a server that is no longer listed or whose entry is invalid. */
  public void remove(String id) {
    servers.remove(id);
  }

  /** Keeps only the servers with these ids, after a full listing. */
  public void retain(Set<String> ids) {
    servers.keySet().retainAll(ids);
  }

  /** Returns the entry under an id, of any incarnation, or null if there is none. */
  public ServerEntry getById(String id) {
    return servers.get(id);
  }

  /**
   * Returns the entry of an incarnation, or null if there is none or another incarnation is listed.
   */
  public ServerEntry get(ServerIncarnation start) {
    ServerEntry entry = servers.get(start.id());
    return entry != null && entry.incarnation().equals(start) ? entry : null;
  }

  /** Returns whether a later incarnation of the same server is listed. */
  public boolean isSuperseded(ServerIncarnation start) {
    ServerEntry entry = servers.get(start.id());
    return entry != null && start.isSupersededBy(entry.incarnation());
  }

  /** Returns whether this incarnation of a server accepts new requests. */
  public boolean isReady(ServerIncarnation start) {
    ServerEntry entry = get(start);
    return entry != null && entry.ready();
  }

  /** Returns the servers of a service that accept new requests. */
  public List<ServerEntry> readyServersOf(String service) {
    return servers.values().stream()
        .filter(entry -> entry.ready() && entry.service().equals(service))
        .toList();
  }

  /** Returns all entries. */
  public Collection<ServerEntry> all() {
    return List.copyOf(servers.values());
  }
}
