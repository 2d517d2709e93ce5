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
    ServerIncarnation incarnation = entry.incarnation();
    ServerEntry known = servers.get(incarnation.id());
    if (known == null || known.incarnation().isSupersededBy(incarnation)) {
      servers.put(incarnation.id(), entry);
    } else if (known.incarnation().equals(incarnation)) {
      servers.put(incarnation.id(), entry.withMinVersions(known.versions()));
    } else if (!incarnation.hasStartTime()) {
      servers.remove(incarnation.id());
    }
  }

  /** Records a model version that a server reported before its entry was updated. */
  public void onVersionReached(ServerIncarnation incarnation, String model, long version) {
    servers.computeIfPresent(
        incarnation.id(),
        (id, entry) ->
            entry.incarnation().equals(incarnation)
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
  public ServerEntry get(ServerIncarnation incarnation) {
    ServerEntry entry = servers.get(incarnation.id());
    return entry != null && entry.incarnation().equals(incarnation) ? entry : null;
  }

  /** Returns whether a later incarnation of the same server is listed. */
  public boolean isSuperseded(ServerIncarnation incarnation) {
    ServerEntry entry = servers.get(incarnation.id());
    return entry != null && incarnation.isSupersededBy(entry.incarnation());
  }

  /** Returns whether this incarnation of a server accepts new requests. */
  public boolean isReady(ServerIncarnation incarnation) {
    ServerEntry entry = get(incarnation);
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
