package org.passhaven.node.http;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.vertx.core.AbstractVerticle;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.core.http.HttpServer;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import io.vertx.mutiny.ext.web.client.WebClient;
import io.vertx.mutiny.ext.web.handler.BodyHandler;
import java.security.SecureRandom;
import java.util.List;
import java.util.Objects;
import org.passhaven.node.Node;
import org.passhaven.node.NodeContext;
import org.passhaven.node.NodeMetrics;
import org.passhaven.node.NodeSettings;
import org.passhaven.node.configuration.ConfigurationAgent.ApplyResult;
import org.passhaven.node.stream.RecordSequence;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.CodecException;
import org.passhaven.protocol.ConfigurationDocument;
import org.passhaven.protocol.PeerRequest;
import org.passhaven.spi.Platform;
import org.passhaven.standin.Address;
import org.passhaven.standin.HttpEngineService;
import org.passhaven.standin.HttpLogService;
import org.passhaven.standin.HttpMachineList;
import org.passhaven.standin.HttpPeerTransport;
import org.passhaven.standin.HttpServiceBackEnd;
import org.passhaven.standin.VertxTimers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a node behind an HTTP server. The server is a single verticle, so all of the node's work
 * runs on one event loop.
 */
public final class NodeServer extends AbstractVerticle {
  private static final Logger LOG = LoggerFactory.getLogger(NodeServer.class);
  private static final int MAX_CONNECTIONS = 512;
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int IDLE_TIMEOUT_SECONDS = 120;
  private static final int MAX_HEADER_BYTES = 16_384;
  private static final int RANDOM_INCARNATION_BITS = 10;
  private final NodeSettings settings;
  private final String logAddress;
  private final String machineListAddress;
  private final long maxBodyBytes;
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private Node node;
  private HttpServer server;

  /** Creates a server; deploying it starts the node. */
  public NodeServer(
      NodeSettings settings, String logAddress, String machineListAddress, long maxBodyBytes) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.logAddress = Objects.requireNonNull(logAddress, "logAddress");
    this.machineListAddress = Objects.requireNonNull(machineListAddress, "machineListAddress");
    this.maxBodyBytes = maxBodyBytes;
  }

  /** Returns the node; null before the server is deployed. */
  public Node node() {
    return node;
  }

  @Override
  public Uni<Void> asyncStart() {
    SecureRandom random = new SecureRandom();
    long incarnation =
        (System.currentTimeMillis() << RANDOM_INCARNATION_BITS)
            + random.nextInt(1 << RANDOM_INCARNATION_BITS);
    NodeContext context =
        new NodeContext(
            settings,
            incarnation,
            platform(),
            new VertxTimers(vertx),
            random::nextInt,
            new NodeMetrics(registry),
            new RecordSequence());
    node = new Node(context);
    Address address = Address.parse(settings.address());
    HttpServerOptions options =
        new HttpServerOptions()
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setIdleTimeout(IDLE_TIMEOUT_SECONDS)
            .setReuseAddress(true);
    server = vertx.createHttpServer(options).requestHandler(router());
    return server
        .listen(address.port(), address.host())
        .invoke(
            () -> {
              LOG.info("node: {} listens on {}", settings.node(), settings.address());
              node.start();
            })
        .replaceWithVoid();
  }

  private Platform platform() {
    WebClientOptions options =
        new WebClientOptions()
            .setMaxPoolSize(MAX_CONNECTIONS)
            .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
            .setFollowRedirects(false);
    WebClient web = WebClient.create(vertx, options);
    return new Platform(
        new HttpLogService(web, logAddress),
        new HttpMachineList(web, machineListAddress),
        new HttpEngineService(vertx, options),
        new HttpServiceBackEnd(vertx, options),
        new HttpPeerTransport(web));
  }

  private Router router() {
    Router router = Router.router(vertx);
    router.route().handler(BodyHandler.create(false).setBodyLimit(maxBodyBytes));
    router.post(HttpPeerTransport.PATH).handler(this::handlePeerRequest);
    router.get("/healthz").handler(routing -> routing.response().endAndForget("ok\n"));
    router.get("/readyz").handler(this::handleReadiness);
    router
        .get("/metrics")
        .handler(
            routing ->
                routing
                    .response()
                    .putHeader("Content-Type", "text/plain; version=0.0.4")
                    .endAndForget(registry.scrape()));
    new TrainerHandler(node.rollouts()).addTo(router);
    new ServiceHandler(node.requests()).addTo(router);
    new OperatorHandler(node).addTo(router);
    new CompletionHandler(node).addTo(router);
    router.route().failureHandler(NodeServer::onFailure);
    return router;
  }

  private void handlePeerRequest(RoutingContext routing) {
    try {
      PeerRequest request = Codec.decode(routing.body().buffer().getBytes(), PeerRequest.class);
      node.onPeerRequest(request)
          .subscribe()
          .with(
              response ->
                  routing
                      .response()
                      .putHeader("Content-Type", HttpPeerTransport.MEDIA_TYPE)
                      .endAndForget(Buffer.buffer(Codec.encode(response))),
              failure -> HttpMessages.sendFailure(routing, failure));
    } catch (CodecException e) {
      HttpMessages.sendProblem(
          routing, Problem.notRun(HttpMessages.BAD_REQUEST, e.getMessage()), 0);
    }
  }

  private void handleReadiness(RoutingContext routing) {
    routing
        .response()
        .setStatusCode(node.isReady() ? HttpMessages.OK : HttpMessages.UNAVAILABLE)
        .endAndForget(node.isReady() ? "ready\n" : "not ready\n");
  }

  private static void onFailure(RoutingContext routing) {
    int status = routing.statusCode();
    boolean isException =
        routing.failure() != null && (status <= 0 || status == HttpMessages.INTERNAL_ERROR);
    if (isException) {
      LOG.debug("node: a request failed", routing.failure());
      HttpMessages.sendFailure(routing, routing.failure());
      return;
    }
    int code = status <= 0 ? HttpMessages.BAD_REQUEST : status;
    HttpMessages.sendProblem(routing, Problem.notRun(code, "the request can't be taken"), 0);
  }

  /** Drains and stops the node; completes when no request is in progress or the limit expires. */
  public Uni<Void> drain(long limitMillis) {
    return Uni.createFrom()
        .emitter(
            emitter ->
                context.runOnContext(
                    ignored ->
                        node.stop(limitMillis).subscribe().with(emitter::complete, emitter::fail)));
  }

  /** Applies a configuration on the node's event loop; may be called from any thread. */
  public Uni<ApplyResult> apply(List<ConfigurationDocument> documents, String operator) {
    return Uni.createFrom()
        .emitter(
            emitter ->
                context.runOnContext(
                    ignored ->
                        node.configuration()
                            .apply(documents, -1, operator)
                            .subscribe()
                            .with(emitter::complete, emitter::fail)));
  }
}
