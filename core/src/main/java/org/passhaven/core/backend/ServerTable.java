package org.passhaven.core.backend;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Servers as the platform lists them now, the newest start of each. Not thread-safe. */
public final class ServerTable {
  private final Map<String, ServerEntry> servers = new TreeMap<>();

  /**
   * A server listed itself or changed its entry. Versions that this start told already stay; an
   * entry of an earlier start is ignored. A server that has told when it started always does: an
   * entry without that is by another writer, and what stands under the id is no server's any more.
   */
  public void put(ServerEntry entry) {
    ServerStart start = entry.start();
    ServerEntry known = servers.get(start.id());
    if (known == null || known.start().isFollowedBy(start)) {
      servers.put(start.id(), entry);
    } else if (known.start().equals(start)) {
      servers.put(start.id(), entry.withAtLeast(known.versions()));
    } else if (!start.isBornTold()) {
      servers.remove(start.id());
    }
  }

  /** A server told that it holds a version of a model, before its entry says so. */
  public void onReached(ServerStart start, String model, long version) {
    servers.computeIfPresent(
        start.id(),
        (id, entry) ->
            entry.start().equals(start) ? entry.withAtLeast(Map.of(model, version)) : entry);
  }

  /** A server's entry is gone, or does not name one. */
  public void remove(String id) {
    servers.remove(id);
  }

  /** Keeps only the servers of these ids: the table was listed anew. */
  public void retain(Set<String> ids) {
    servers.keySet().retainAll(ids);
  }

  /** What stands under an id, whichever start it is of; null if nothing does. */
  public ServerEntry listed(String id) {
    return servers.get(id);
  }

  /** The entry of a start; null if there is none, or one of a later start. */
  public ServerEntry get(ServerStart start) {
    ServerEntry entry = servers.get(start.id());
    return entry != null && entry.start().equals(start) ? entry : null;
  }

  /** Whether a later start of the same server is listed. */
  public boolean isSucceeded(ServerStart start) {
    ServerEntry entry = servers.get(start.id());
    return entry != null && start.isFollowedBy(entry.start());
  }

  /** Whether new work may go to this start of a server. */
  public boolean isReady(ServerStart start) {
    ServerEntry entry = get(start);
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
