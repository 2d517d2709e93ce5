package org.passhaven.simulator.gateway;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.protocol.Codec;
import org.passhaven.simulator.gateway.SimulatedServers.Server;
import org.passhaven.simulator.time.VirtualTime;

/** Entries of servers in the store, as they start, crash and leave. */
final class ServerEntries {
  private static final long LIST_PERIOD_MILLIS = 300;
  private static final long RESTART_MILLIS = 900;
  private static final long DRAIN_MILLIS = 2_000;
  private static final long FIRST_BORN_MILLIS = 1;
  private final VirtualTime time;
  private final SimulatedStore store;
  private final Map<String, byte[]> listed = new HashMap<>();
  private final Set<ServerIncarnation> draining = new HashSet<>();
  private List<Server> servers = List.of();
  private boolean inPlace;

  ServerEntries(VirtualTime time, SimulatedStore store) {
    this.time = time;
    this.store = store;
  }

  /** Begins to list servers. */
  void start(List<Server> all) {
    servers = List.copyOf(all);
    if (inPlace) {
      servers.forEach(server -> server.bornMillis = FIRST_BORN_MILLIS);
    }
    list();
  }

  private void after(long millis, Runnable task) {
    time.after(millis * VirtualTime.MICROS_PER_MILLI, task);
  }

  /** Servers list themselves, those that run only. */
  private void list() {
    for (Server server : servers) {
      boolean isModel = server.name.startsWith("llm");
      if (server.down) {
        continue;
      }
      ServerEntry entry =
          new ServerEntry(
              server.listedStart(),
              isModel ? "llm" : "portal",
              server.name,
              server.zone,
              8,
              !draining.contains(server.listedStart()),
              isModel ? Map.of(SimulatedServers.MODEL, server.version) : Map.of());
      byte[] document = Codec.encode(entry);
      if (!Arrays.equals(document, listed.put(server.instance(), document))) {
        store.put(SimulatedDocuments.SERVERS, server.instance(), document);
      }
    }
    after(LIST_PERIOD_MILLIS, this::list);
  }

  /** A server crashes; a dark one says nothing any more. */
  void crash(Server server, boolean silently, long forMillis) {
    if (server.down) {
      return;
    }
    String instance = server.instance();
    server.crash(silently);
    endStart(server, instance, forMillis);
  }

  /** A server crashes by a request that it began. */
  void crashByRequest(Server server, long forMillis) {
    String instance = server.instance();
    server.crashByRequest();
    endStart(server, instance, forMillis);
  }

  private void endStart(Server server, String instance, long forMillis) {
    after(DRAIN_MILLIS, () -> unlistUnlessBack(server, instance));
    after(forMillis, () -> restart(server));
  }

  private void restart(Server server) {
    if (inPlace) {
      server.restartInPlace(time.nowMillis());
    } else {
      server.restart();
    }
  }

  private void unlistUnlessBack(Server server, String instance) {
    if (server.down || !server.instance().equals(instance)) {
      unlist(instance);
    }
  }

  /** Servers start again under the id that they had. */
  void setRestartsInPlace() {
    inPlace = true;
  }

  /** A server says that it leaves, serves on for a while, and is replaced. */
  void drain(Server server) {
    if (server.down) {
      return;
    }
    String instance = server.instance();
    draining.add(server.listedStart());
    after(
        DRAIN_MILLIS,
        () -> {
          if (server.instance().equals(instance) && !server.down) {
            server.crash(false);
            unlist(instance);
            after(RESTART_MILLIS, () -> restart(server));
          }
        });
  }

  private void unlist(String instance) {
    if (listed.remove(instance) != null) {
      store.put(SimulatedDocuments.SERVERS, instance, null);
    }
  }
}
