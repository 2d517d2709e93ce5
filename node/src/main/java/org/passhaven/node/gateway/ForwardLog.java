package org.passhaven.node.gateway;

import java.util.Objects;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.forward.ForwardPlan.Outcome;
import org.passhaven.core.route.Route;
import org.passhaven.spi.BackEndService.Call;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/** Logs failed attempts of one request, and why it was given up. */
final class ForwardLog {
  private static final Logger LOG = LoggerFactory.getLogger(RequestForwarder.class);
  private final GatewayContext context;
  private final Directory directory;
  private final Route route;
  private final Call call;
  private final String service;
  private final long beganAtMillis;
  private String lastReason = "";

  ForwardLog(
      GatewayContext context,
      Directory directory,
      Route route,
      Call call,
      String service,
      long beganAtMillis) {
    this.context = Objects.requireNonNull(context, "context");
    this.directory = Objects.requireNonNull(directory, "directory");
    this.route = Objects.requireNonNull(route, "route");
    this.call = Objects.requireNonNull(call, "call");
    this.service = Objects.requireNonNull(service, "service");
    this.beganAtMillis = beganAtMillis;
  }

  /** A server has not answered within the hedge delay, and another one is asked. */
  void onSilent(ServerEntry server) {
    LOG.atDebug()
        .addKeyValue("request", call.id())
        .addKeyValue("server", server.start())
        .log("request: silent server, another one is asked");
  }

  /** An attempt has failed. */
  void onAttemptFailed(ServerEntry server, Outcome outcome, String reason) {
    context.metrics().attemptsFailed.increment();
    lastReason = reason;
    // Refused connections are frequent while no server of a service is up.
    LOG.atLevel(outcome == Outcome.NOT_RUN ? Level.DEBUG : Level.INFO)
        .addKeyValue("request", call.id())
        .addKeyValue("route", route.name())
        .addKeyValue("path", path())
        .addKeyValue("server", server.start())
        .addKeyValue("outcome", outcome)
        .addKeyValue("reason", reason)
        .addKeyValue("afterMillis", context.now() - beganAtMillis)
        .log("request: attempt failed");
  }

  /** Path without its query, by which repeats of one request are recognised in the log. */
  private String path() {
    int query = call.uri().indexOf('?');
    return query < 0 ? call.uri() : call.uri().substring(0, query);
  }

  /** The request is given up. */
  void onGivenUp(ForwardOutcome outcome, int attempts, String reason) {
    LOG.atInfo()
        .addKeyValue("request", call.id())
        .addKeyValue("route", route.name())
        .addKeyValue("service", service)
        .addKeyValue("ready", directory.servers().readyOf(service).size())
        .addKeyValue("configuration", directory.routes().version())
        .addKeyValue("attempts", attempts)
        .addKeyValue("outcome", outcome.getClass().getSimpleName())
        .addKeyValue("reason", reason)
        .addKeyValue("lastAttempt", lastReason)
        .addKeyValue("tookMillis", context.now() - beganAtMillis)
        .log("request: given up");
  }
}
