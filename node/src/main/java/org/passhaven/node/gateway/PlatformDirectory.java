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
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.backend.ServerTable;
import org.passhaven.core.eligibility.ServerEligibility;
import org.passhaven.core.evacuation.ZoneEvacuations;
import org.passhaven.core.job.AnnouncedVersion;
import org.passhaven.core.route.RouteTable;
import org.passhaven.node.follow.TableFollower;
import org.passhaven.node.gateway.PlatformDocuments.DocumentException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This node's view of the routing configuration, the newest weight version of each model and the
 * registered model servers, kept up to date by following the platform's tables. The configuration
 * version never decreases while the process runs. Not thread-safe: used on the node's event loop.
 */
public final class PlatformDirectory {
  private static final Logger LOG = LoggerFactory.getLogger(PlatformDirectory.class);

  /** Longer than a read of the operator's table takes on a slow store. */
  private static final long CONFIRM_TIMEOUT_MILLIS = 400;

  /** Divisor of the propagation limit: a configuration read more recently is not read again. */
  private static final int FRESHNESS_DIVISOR = 2;

  /** Limits the remembered keys of unreadable entries, each of which is logged once. */
  private static final int MAX_UNREADABLE_KEYS = 1_000;

  private final GatewayContext context;
  private final PlatformDocuments documents;
  private final ServerTable servers = new ServerTable();
  private final ZoneEvacuations evacuations = new ZoneEvacuations();
  private final ServerEligibility eligibility;
  private final Map<String, AnnouncedVersion> announcedVersions = new HashMap<>();
  private final List<Runnable> listeners = new ArrayList<>();
  private final TableFollower operator;
  private final TableFollower serverEntries;
  private RouteTable routes = RouteTable.EMPTY;

  /**
   * Creates a directory; {@link #start} begins to follow the tables.
   *
   * @param betweenServersMillis pause between reads of changed server entries, in milliseconds
   */
  public PlatformDirectory(GatewayContext context, LongSupplier betweenServersMillis) {
    this.context = Objects.requireNonNull(context, "context");
    this.documents = context.documents();
    this.eligibility = new ServerEligibility(servers, evacuations, context.settings().topology());
    this.operator =
        new TableFollower(
            context.tables(),
            context.timers(),
            documents.operatorTable(),
            context.settings().propagationLimit(),
            () -> 0,
            new OperatorListener());
    this.serverEntries =
        new TableFollower(
            context.tables(),
            context.timers(),
            documents.serverTable(),
            context.settings().propagationLimit(),
            betweenServersMillis,
            new ServerListener());
  }

  /** Starts following the tables of the operator and of the servers. */
  public void start() {
    operator.start();
    serverEntries.start();
  }

  /** Ends the current pause between reads, for a node that now needs changes of servers at once. */
  void endReadPause() {
    serverEntries.endReadPause();
  }

  /** Restarts pending reads, which may never complete after a suspension of the process. */
  void restartReads() {
    operator.restartReads();
    serverEntries.restartReads();
  }

  /** Adds a listener that runs after each change. */
  public void addListener(Runnable listener) {
    listeners.add(listener);
  }

  /** Returns the routes in force. */
  public RouteTable routes() {
    return routes;
  }

  /** Returns whether a configuration was read and the servers were listed. */
  public boolean isConfigured() {
    return routes.version() > 0 && serverEntries.isListed();
  }

  /**
   * Reads the operator's table unless it was read recently. Emits true once every configuration
   * that must be in force is in force, false if the store does not answer in time.
   */
  public Uni<Boolean> confirmConfiguration() {
    if (operator.wasReadWithin(
        context.settings().propagationLimit().toMillis() / FRESHNESS_DIVISOR)) {
      return Uni.createFrom().item(true);
    }
    return context
        .timers()
        .withTimeout(operator.refresh(), CONFIRM_TIMEOUT_MILLIS, "configuration")
        .onFailure()
        .recoverWithItem(false);
  }

  /**
   * Returns the time since the store last confirmed or delivered the newest configuration; empty if
   * it never did.
   */
  public OptionalLong configurationAgeMillis() {
    return operator.millisSinceLastRead();
  }

  /** Returns the registered servers. */
  public ServerTable servers() {
    return servers;
  }

  /** Returns the time since the servers were last read; empty if they were not read yet. */
  OptionalLong serversAgeMillis() {
    return serverEntries.millisSinceLastRead();
  }

  /** Returns whether the operator has evacuated a zone. */
  boolean isEvacuated(String zone) {
    return evacuations.contains(zone);
  }

  /** Returns the check that every request to a server must pass. */
  ServerEligibility eligibility() {
    return eligibility;
  }

  /** Returns the newest announced weight version of each model. */
  public Map<String, AnnouncedVersion> announcedVersions() {
    return announcedVersions;
  }

  /** Returns the number of the newest announced weight version of each model. */
  public Map<String, Long> newestVersions() {
    Map<String, Long> versions = new HashMap<>();
    announcedVersions.forEach((model, newest) -> versions.put(model, newest.version()));
    return versions;
  }

  /** Records that a server has loaded a weight version, which its entry may not show yet. */
  public void onVersionLoaded(ServerIncarnation incarnation, String model, long version) {
    ServerEntry before = servers.get(incarnation);
    servers.onVersionReached(incarnation, model, version);
    if (!Objects.equals(before, servers.get(incarnation))) {
      notifyListeners();
    }
  }

  private void notifyListeners() {
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
          apply(documents.parseConfiguration(value));
        } else {
          documents.parseAnnouncedVersions(key, value).forEach(this::onVersionAnnounced);
        }
      } catch (DocumentException e) {
        context.metrics().documentsUnreadable.increment();
        LOG.atError()
            .addKeyValue("key", key)
            .addKeyValue("reason", e.getMessage())
            .log("configuration: a document can't be read");
      }
    }

    private void apply(RouteTable table) {
      if (table.version() <= routes.version()) {
        return;
      }
      LOG.atInfo()
          .addKeyValue("version", table.version())
          .addKeyValue("before", routes.version())
          .addKeyValue("routes", table.size())
          .addKeyValue("source", operator.isListing() ? "listing" : "changes")
          .addKeyValue("silentMillis", text(operator.millisSinceLastRead()))
          .log("configuration: in force");
      routes = table;
      notifyListeners();
    }

    private static String text(OptionalLong millis) {
      return millis.isPresent() ? Long.toString(millis.getAsLong()) : "";
    }

    private void onVersionAnnounced(String model, long version) {
      AnnouncedVersion before = announcedVersions.get(model);
      if (before == null || version > before.version()) {
        announcedVersions.put(model, new AnnouncedVersion(version, context.nowMillis()));
        LOG.atInfo()
            .addKeyValue("model", model)
            .addKeyValue("version", version)
            .log("weights: named");
        notifyListeners();
      }
    }

    @Override
    public void onListed(Set<String> keys) {}
  }

  private final class ServerListener implements TableFollower.Listener {
    /** Reasons why entries are unreadable, by key. */
    private final Map<String, String> unreadable = new HashMap<>();

    @Override
    public void onDocument(String key, byte[] value) {
      ServerEntry before = servers.getById(key);
      if (value == null) {
        servers.remove(key);
        unreadable.remove(key);
      } else {
        parseAndStore(key, value);
      }
      ServerEntry after = servers.getById(key);
      if (!Objects.equals(before, after)) {
        logChange(key, before, after);
        notifyListeners();
      }
    }

    /** Stores an entry; an unreadable one removes the earlier entry of the same key. */
    private void parseAndStore(String key, byte[] value) {
      try {
        servers.put(documents.parseServer(key, value));
        unreadable.remove(key);
      } catch (DocumentException e) {
        servers.remove(key);
        context.metrics().documentsUnreadable.increment();
        logUnreadable(key, e.getMessage());
      }
    }

    /** Logs a key once for each reason, since servers rewrite their entries with each heartbeat. */
    private void logUnreadable(String key, String reason) {
      boolean isNewReason = !reason.equals(unreadable.get(key));
      if (isNewReason && unreadable.size() < MAX_UNREADABLE_KEYS) {
        unreadable.put(key, reason);
        LOG.atError()
            .addKeyValue("server", key)
            .addKeyValue("reason", reason)
            .log("servers: an entry can't be read, it names no server");
      }
    }

    private void logChange(String key, ServerEntry before, ServerEntry after) {
      String state = after == null ? "gone" : after.ready() ? "ready" : "draining";
      boolean isStateChange = before == null || after == null || before.ready() != after.ready();
      if (isStateChange) {
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
      notifyListeners();
    }
  }
}
