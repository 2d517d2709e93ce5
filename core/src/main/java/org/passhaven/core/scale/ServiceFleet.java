package org.passhaven.core.scale;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.passhaven.core.backend.ServerEntry;

/**
 * The servers of one service by zone, as this node has seen them over time. Must be updated only
 * while the server table is known to be current. Not thread-safe.
 */
public final class ServiceFleet {
  /** Entries that lapsed during an outage of the store return within a shorter time. */
  static final long RETURN_MILLIS = 3_000;

  /** Time after which a server that vanished without a word counts as gone for the platform too. */
  static final long COUNTED_MILLIS = 30_000;

  /** Time without a change after which the servers present are those that are meant to be there. */
  private static final long SETTLED_MILLIS = 5_000;

  private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;
  private final Map<String, Known> known = new HashMap<>();
  private long lastChangeMillis = NEVER_MILLIS;

  /**
   * State of a server id; {@code missingSinceMillis} is {@link #NEVER_MILLIS} while it is listed.
   */
  private static final class Known {
    private String zone;
    private boolean isReady;
    private long missingSinceMillis = NEVER_MILLIS;

    private boolean isListed() {
      return missingSinceMillis == NEVER_MILLIS;
    }
  }

  /** Applies the entries of the service that are listed now. */
  public void observe(Collection<ServerEntry> entries, long nowMillis) {
    Set<String> listed = new HashSet<>();
    for (ServerEntry entry : entries) {
      listed.add(entry.incarnation().id());
      Known server = known.computeIfAbsent(entry.incarnation().id(), id -> new Known());
      if (server.isReady != entry.ready() || !server.isListed()) {
        lastChangeMillis = nowMillis;
      }
      server.zone = entry.zone();
      server.isReady = entry.ready();
      server.missingSinceMillis = NEVER_MILLIS;
    }
    known
        .entrySet()
        .removeIf(
            server ->
                !listed.contains(server.getKey()) && noteMissing(server.getValue(), nowMillis));
  }

  /**
   * Notes that a server is not listed. Returns whether to forget it: at once if it was draining,
   * since it announced its end, otherwise once the platform no longer counts it.
   */
  private boolean noteMissing(Known server, long nowMillis) {
    if (server.isListed()) {
      server.missingSinceMillis = nowMillis;
      lastChangeMillis = nowMillis;
    }
    return !server.isReady || nowMillis - server.missingSinceMillis >= COUNTED_MILLIS;
  }

  /** Returns whether there are servers and none has come, gone or changed its state lately. */
  public boolean isSettled(long nowMillis) {
    return !known.isEmpty() && nowMillis - lastChangeMillis >= SETTLED_MILLIS;
  }

  /** Returns the servers of each zone that has any, by zone in alphabetical order. */
  public Map<String, ZoneServers> zones(long nowMillis) {
    Map<String, ZoneServers> zones = new TreeMap<>();
    for (Known server : known.values()) {
      ZoneServers before = zones.getOrDefault(server.zone, ZoneServers.NONE);
      zones.put(server.zone, with(before, server, nowMillis));
    }
    return zones;
  }

  private static ZoneServers with(ZoneServers zone, Known server, long nowMillis) {
    if (!server.isReady) {
      return new ZoneServers(zone.available(), zone.counted(), zone.draining() + 1);
    }
    boolean isAvailable =
        server.isListed() || nowMillis - server.missingSinceMillis < RETURN_MILLIS;
    return new ZoneServers(
        zone.available() + (isAvailable ? 1 : 0), zone.counted() + 1, zone.draining());
  }
}
