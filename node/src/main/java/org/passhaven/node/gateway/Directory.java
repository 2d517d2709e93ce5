package org.passhaven.node.gateway;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerStart;
import org.passhaven.core.backend.ServerTable;
import org.passhaven.core.job.NamedVersion;
import org.passhaven.core.route.RouteTable;
import org.passhaven.node.follow.TableFollower;
import org.passhaven.node.gateway.PlatformDocuments.DocumentException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Configuration, named weight versions and servers as this node knows them. A configuration version
 * never goes back within the life of the process.
 */
public final class Directory {
  private static final Logger LOG = LoggerFactory.getLogger(Directory.class);

  /** A look into the table takes some 10 ms, and 250 ms where the store is slow. */
  private static final long CONFIRM_LIMIT_MILLIS = 400;

  /** Part of the time to put news in force within which what is known need not be confirmed. */
  private static final int FRESH_PART = 2;

  /** Keys of entries that can't be read that are remembered, so that each is logged once. */
  private static final int MOST_UNREADABLE = 1_000;

  private final GatewayContext context;
  private final PlatformDocuments documents;
  private final ServerTable servers = new ServerTable();
  private final Map<String, NamedVersion> named = new HashMap<>();
  private final List<Runnable> listeners = new ArrayList<>();
  private final TableFollower operator;
  private final TableFollower serverEntries;
  private RouteTable routes = RouteTable.EMPTY;

  /**
   * Creates the directory.
   *
   * @param betweenServersMillis pause between reads of servers' entries that change
   */
  public Directory(GatewayContext context, LongSupplier betweenServersMillis) {
    this.context = Objects.requireNonNull(context, "context");
    this.documents = context.documents();
    this.operator =
        new TableFollower(
            context.tables(),
            context.timers(),
            documents.operatorTable(),
            context.settings().inForce(),
            () -> 0,
            new OperatorListener());
    this.serverEntries =
        new TableFollower(
            context.tables(),
            context.timers(),
            documents.serverTable(),
            context.settings().inForce(),
            betweenServersMillis,
            new ServerListener());
  }

  /** Begins to follow. */
  public void start() {
    operator.start();
    serverEntries.start();
  }

  /** This node has come to need servers' entries as they change. */
  void hurry() {
    serverEntries.hurry();
  }

  /** What this node waits for may never come: reads are begun anew. */
  void renew() {
    operator.renew();
    serverEntries.renew();
  }

  /** Calls {@code listener} after each change. */
  public void addListener(Runnable listener) {
    listeners.add(listener);
  }

  /** Routes in force. */
  public RouteTable routes() {
    return routes;
  }

  /** Whether a configuration is known. */
  public boolean isConfigured() {
    return routes.version() > 0 && serverEntries.isListed();
  }

  /**
   * Looks into the operator's table unless it was read lately. Gives true if every configuration
   * that has to be in force is, false if the store can't tell soon.
   */
  public Uni<Boolean> confirmConfiguration() {
    if (operator.wasReadWithin(context.settings().inForce().toMillis() / FRESH_PART)) {
      return Uni.createFrom().item(true);
    }
    return context
        .timers()
        .limit(operator.refresh(), CONFIRM_LIMIT_MILLIS, "configuration")
        .onFailure()
        .recoverWithItem(false);
  }

  /**
   * How long ago the store last told that there is no newer configuration, or gave it; empty if it
   * never did.
   */
  public OptionalLong configurationAgeMillis() {
    return operator.silentMillis();
  }

  /** Servers as they list themselves. */
  public ServerTable servers() {
    return servers;
  }

  /** Newest named weight version by model. */
  public Map<String, NamedVersion> named() {
    return named;
  }

  /** Number of the newest named weight version by model. */
  public Map<String, Long> newestVersions() {
    Map<String, Long> versions = new HashMap<>();
    named.forEach((model, newest) -> versions.put(model, newest.version()));
    return versions;
  }

  /** A server told that it holds a weight version, before its entry says so. */
  public void onReached(ServerStart start, String model, long version) {
    ServerEntry before = servers.get(start);
    servers.onReached(start, model, version);
    if (!Objects.equals(before, servers.get(start))) {
      changed();
    }
  }

  private void changed() {
    listeners.forEach(Runnable::run);
  }

  private final class OperatorListener implements TableFollower.Listener {
    @Override
    public void onDocument(String key, byte[] value) {
      if (value == null) {
        return;
      }
      try {
        if (documents.isConfiguration(key)) {
          putInForce(documents.configuration(value));
        } else {
          documents.namedVersion(key, value).forEach(this::name);
        }
      } catch (DocumentException e) {
        context.metrics().documentsUnreadable.increment();
        LOG.atError()
            .addKeyValue("key", key)
            .addKeyValue("reason", e.getMessage())
            .log("configuration: a document can't be read");
      }
    }

    private void putInForce(RouteTable table) {
      if (table.version() <= routes.version()) {
        return;
      }
      LOG.atInfo()
          .addKeyValue("version", table.version())
          .addKeyValue("before", routes.version())
          .addKeyValue("routes", table.size())
          .addKeyValue("source", operator.isListing() ? "listing" : "changes")
          .addKeyValue("silentMillis", text(operator.silentMillis()))
          .log("configuration: in force");
      routes = table;
      changed();
    }

    private static String text(OptionalLong millis) {
      return millis.isPresent() ? Long.toString(millis.getAsLong()) : "";
    }

    private void name(String model, long version) {
      NamedVersion before = named.get(model);
      if (before == null || version > before.version()) {
        named.put(model, new NamedVersion(version, context.now()));
        LOG.atInfo()
            .addKeyValue("model", model)
            .addKeyValue("version", version)
            .log("weights: named");
        changed();
      }
    }

    @Override
    public void onListed(Set<String> keys) {}
  }

  private final class ServerListener implements TableFollower.Listener {
    /** Why entries can't be read, by key. */
    private final Map<String, String> unreadable = new HashMap<>();

    @Override
    public void onDocument(String key, byte[] value) {
      ServerEntry before = servers.listed(key);
      if (value == null) {
        servers.remove(key);
        unreadable.remove(key);
      } else {
        put(key, value);
      }
      ServerEntry after = servers.listed(key);
      if (!Objects.equals(before, after)) {
        logChange(key, before, after);
        changed();
      }
    }

    /** What can't be read names no server: the entry that stood there before is not used either. */
    private void put(String key, byte[] value) {
      try {
        servers.put(documents.server(key, value));
        unreadable.remove(key);
      } catch (DocumentException e) {
        servers.remove(key);
        context.metrics().documentsUnreadable.increment();
        logUnreadable(key, e.getMessage());
      }
    }

    /** Entries are written anew with each heartbeat: a line tells of the first one only. */
    private void logUnreadable(String key, String reason) {
      boolean isNews = !reason.equals(unreadable.get(key));
      if (isNews && unreadable.size() < MOST_UNREADABLE) {
        unreadable.put(key, reason);
        LOG.atError()
            .addKeyValue("server", key)
            .addKeyValue("reason", reason)
            .log("servers: an entry can't be read, it names no server");
      }
    }

    private void logChange(String key, ServerEntry before, ServerEntry after) {
      String state = after == null ? "gone" : after.ready() ? "ready" : "draining";
      boolean isNews = before == null || after == null || before.ready() != after.ready();
      if (isNews) {
        ServerEntry known = after == null ? before : after;
        LOG.atInfo()
            .addKeyValue("server", key)
            .addKeyValue("service", known == null ? "" : known.service())
            .addKeyValue("address", known == null ? "" : known.address())
            .addKeyValue("state", state)
            .log("servers: changed");
      }
    }

    @Override
    public void onListed(Set<String> keys) {
      servers.retain(keys);
      unreadable.keySet().retainAll(keys);
      changed();
    }
  }
}
