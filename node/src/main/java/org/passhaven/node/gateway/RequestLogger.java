package org.passhaven.node.gateway;

import java.util.Objects;
import java.util.function.Supplier;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.forward.ForwardPlan.Outcome;
import org.passhaven.core.route.Route;
import org.passhaven.spi.BackEndService.Call;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/** Logs the failed attempts of one request and the reason for its final failure. */
final class RequestLogger {
  private static final Logger LOG = LoggerFactory.getLogger(RequestForwarder.class);
  private final GatewayContext context;
  private final PlatformDirectory directory;
  private final Route route;
  private final Call call;
  private final String service;
  private final long startedAtMillis;
  private String lastFailureReason = "";

  RequestLogger(
      GatewayContext context,
      PlatformDirectory directory,
      Route route,
      Call call,
      String service,
      long startedAtMillis) {
    this.context = Objects.requireNonNull(context, "context");
    this.directory = Objects.requireNonNull(directory, "directory");
    this.route = Objects.requireNonNull(route, "route");
    this.call = Objects.requireNonNull(call, "call");
    this.service = Objects.requireNonNull(service, "service");
    this.startedAtMillis = startedAtMillis;
  }

  /** Logs that a server has not answered within the hedge delay. */
  void onHedgeDue(ServerEntry server) {
    LOG.atDebug()
        .addKeyValue("request", call.id())
        .addKeyValue("server", server.incarnation())
        .log("request: no answer within the hedge delay, sending to another server");
  }

  /** Logs and counts an attempt at a server of another region. */
  void onRegionLeft(ServerEntry server, Supplier<RegionState> region) {
    context.metrics().attemptsInOtherRegion.increment();
    // Frequent while the region has no usable server.
    if (!LOG.isDebugEnabled()) {
      return;
    }
    RegionState own = region.get();
    LOG.atDebug()
        .addKeyValue("request", call.id())
        .addKeyValue("server", server.incarnation())
        .addKeyValue("zone", server.zone())
        .addKeyValue("ready", own.ready())
        .addKeyValue("tried", own.tried())
        .addKeyValue("avoided", own.avoided())
        .addKeyValue("full", own.full())
        .addKeyValue("configurationAgeMillis", directory.configurationAgeMillis().orElse(-1))
        .addKeyValue("afterMillis", context.nowMillis() - startedAtMillis)
        .log("request: leaves the region");
  }

  /** Logs and counts a failed attempt. */
  void onAttemptFailed(ServerEntry server, Outcome outcome, String reason) {
    context.metrics().attemptsFailed.increment();
    lastFailureReason = reason;
    // Refused connections are frequent while no server of a service is up.
    LOG.atLevel(outcome == Outcome.NOT_RUN ? Level.DEBUG : Level.INFO)
        .addKeyValue("request", call.id())
        .addKeyValue("route", route.name())
        .addKeyValue("path", pathOf(call))
        .addKeyValue("server", server.incarnation())
        .addKeyValue("outcome", outcome)
        .addKeyValue("reason", reason)
        .addKeyValue("afterMillis", context.nowMillis() - startedAtMillis)
        .log("request: attempt failed");
  }

  /** Returns the path without its query, which identifies repeats of a request in the log. */
  static String pathOf(Call call) {
    int query = call.uri().indexOf('?');
    return query < 0 ? call.uri() : call.uri().substring(0, query);
  }

  /** Logs that no further attempt is made. */
  void onFailed(ForwardOutcome outcome, int attempts, String reason) {
    LOG.atInfo()
        .addKeyValue("request", call.id())
        .addKeyValue("route", route.name())
        .addKeyValue("service", service)
        .addKeyValue("ready", directory.servers().readyServersOf(service).size())
        .addKeyValue("configuration", directory.routes().version())
        .addKeyValue("attempts", attempts)
        .addKeyValue("outcome", outcome.getClass().getSimpleName())
        .addKeyValue("reason", reason)
        .addKeyValue("lastAttempt", lastFailureReason)
        .addKeyValue("tookMillis", context.nowMillis() - startedAtMillis)
        .log("request: given up");
  }
}
