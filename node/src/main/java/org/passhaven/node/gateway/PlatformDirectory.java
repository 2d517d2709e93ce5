package org.passhaven.node.gateway;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.backend.ServerTable;
import org.passhaven.core.coldstart.ColdStartLimiter;
import org.passhaven.core.coldstart.ColdStartShares;
import org.passhaven.core.eligibility.Ineligibility;
import org.passhaven.core.eligibility.ServerEligibility;
import org.passhaven.core.evacuation.ZoneEvacuations;
import org.passhaven.core.job.AnnouncedVersion;
import org.passhaven.core.route.RouteTable;
import org.passhaven.node.follow.TableFollower;
import org.passhaven.node.gateway.PlatformDocuments.DocumentException;
import org.passhaven.protocol.region.RegionRestriction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This node's view of the routing configuration, the newest weight version of each model and the
 * registered model servers, kept up to date by following the platform's tables. The configuration
 * version never decreases while the process runs. Not thread-safe: used on the node's event loop.
 */
public final class PlatformDirectory {
  private static final Logger LOG = LoggerFactory.getLogger(PlatformDirectory.class);

  /** Longer than the 250 ms that a read of the operator's table takes on a slow store. */
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
  private final ColdStartShares coldStartShares;
  private final ColdStartLimiter coldStarts;
  private final Map<String, AnnouncedVersion> announcedVersions = new HashMap<>();
  private final List<Runnable> listeners = new ArrayList<>();
  private final TableFollower operator;
  private final TableFollower serverEntries;
  private RouteTable routes = RouteTable.EMPTY;
  private boolean areEvacuationsKnown;

  /**
   * Creates a directory; {@link #start} begins to follow the tables.
   *
   * @param betweenServersMillis pause between reads of changed server entries, in milliseconds
   */
  public PlatformDirectory(GatewayContext context, LongSupplier betweenServersMillis) {
    this.context = Objects.requireNonNull(context, "context");
    this.documents = context.documents();
    this.eligibility = new ServerEligibility(servers, evacuations, context.settings().topology());
    this.coldStartShares = new ColdStartShares(context.settings().node());
    this.coldStarts = new ColdStartLimiter(coldStartShares, context.randomBelow());
    eligibility.limitColdStarts(coldStarts);
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

  /** Returns whether a configuration, all evacuations and the servers were read. */
  public boolean isConfigured() {
    return routes.version() > 0 && areEvacuationsKnown && serverEntries.isListed();
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

  /** Returns the ready servers of a service that a request may be sent to. */
  List<ServerEntry> candidatesOf(String service, RegionRestriction restriction) {
    if (!areEvacuationsKnown) {
      return List.of();
    }
    List<ServerEntry> ready = servers.readyServersOf(service);
    return eligibility.mayExclude(restriction)
        ? ready.stream().filter(server -> isCandidate(server, restriction)).toList()
        : ready;
  }

  /**
   * Returns whether a server may be chosen for a request. None may before the operator's table was
   * read to its end, since a part not read yet may name an evacuation.
   */
  boolean isCandidate(ServerEntry server, RegionRestriction restriction) {
    return areEvacuationsKnown && eligibility.exclusion(server, restriction).isEmpty();
  }

  /** Returns why none of a service's ready servers may be chosen; empty if one may, or if none. */
  Optional<Ineligibility> exclusionOf(String service, RegionRestriction restriction) {
    return eligibility.mayExclude(restriction)
        ? eligibility.exclusionOfAll(servers.readyServersOf(service), restriction)
        : Optional.empty();
  }

  /** Returns the number of evacuated zones. */
  int evacuatedZones() {
    return evacuations.zones().size();
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

  /** Returns the limit on requests to cold servers. */
  ColdStartLimiter coldStarts() {
    return coldStarts;
  }

  /** Returns this node's shares of the load that cold servers can take. */
  ColdStartShares coldStartShares() {
    return coldStartShares;
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
      Optional<String> evacuatedZone = documents.evacuatedZone(key);
      if (evacuatedZone.isPresent()) {
        onEvacuation(evacuatedZone.get(), value != null);
        return;
      }
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

    /** Applies an evacuation; its document's content is irrelevant. */
    private void onEvacuation(String zone, boolean isEvacuated) {
      boolean isChange = isEvacuated ? evacuations.add(zone) : evacuations.remove(zone);
      if (!isChange) {
        return;
      }
      LOG.atInfo()
          .addKeyValue("zone", zone)
          .addKeyValue("servers", serversIn(zone))
          .addKeyValue("source", operator.isListing() ? "listing" : "changes")
          .addKeyValue("silentMillis", text(operator.millisSinceLastRead()))
          .log(isEvacuated ? "evacuation: in force" : "evacuation: taken back");
      notifyListeners();
    }

    private long serversIn(String zone) {
      return servers.all().stream().filter(server -> server.zone().equals(zone)).count();
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
      coldStarts.configure(table);
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
    public void onListed(Set<String> keys) {
      Set<String> listed =
          keys.stream()
              .flatMap(key -> documents.evacuatedZone(key).stream())
              .collect(Collectors.toSet());
      evacuations.zones().stream()
          .filter(zone -> !listed.contains(zone))
          .forEach(zone -> onEvacuation(zone, false));
      if (!areEvacuationsKnown) {
        areEvacuationsKnown = true;
        notifyListeners();
      }
    }
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
      if (after == null) {
        coldStarts.remove(key);
      }
      if (!Objects.equals(before, after)) {
        logChange(key, before, after);
        notifyListeners();
      }
    }

    /** Stores an entry; an unreadable one removes the earlier entry of the same key. */
    private void parseAndStore(String key, byte[] value) {
      try {
        ServerEntry entry = documents.parseServer(key, value);
        servers.put(entry);
        unreadable.remove(key);
        if (servers.get(entry.incarnation()) != null) {
          noteColdTime(entry);
        }
      } catch (DocumentException e) {
        servers.remove(key);
        context.metrics().documentsUnreadable.increment();
        logUnreadable(key, e.getMessage());
      }
    }

    private void noteColdTime(ServerEntry entry) {
      Optional<ColdStartLimiter.Change> change = coldStarts.onEntry(entry, context.nowMillis());
      if (change.isPresent() && coldStarts.limits(entry.service())) {
        LOG.atInfo()
            .addKeyValue("server", entry.incarnation())
            .addKeyValue("service", entry.service())
            .addKeyValue("state", change.get())
            .addKeyValue("coldMillis", entry.coldMillis())
            .log("servers: cold time changed");
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
      coldStarts.retain(keys);
      unreadable.keySet().retainAll(keys);
      notifyListeners();
    }
  }
}
