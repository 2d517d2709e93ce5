package org.passhaven.emulator.http;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.vertx.core.AbstractVerticle;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.ext.web.Router;
import java.util.Objects;
import java.util.function.Function;

/** One stand-in on an event loop of its own, as each is a machine of its own in life. */
final class StandIn extends AbstractVerticle {
  private final String host;
  private final int port;
  private final Function<Vertx, Router> router;

  StandIn(String host, int port, Function<Vertx, Router> router) {
    this.host = Objects.requireNonNull(host, "host");
    this.port = port;
    this.router = Objects.requireNonNull(router, "router");
  }

  @Override
  public Uni<Void> asyncStart() {
    HttpServerOptions options = new HttpServerOptions().setReuseAddress(true);
    return vertx
        .createHttpServer(options)
        .requestHandler(router.apply(vertx))
        .listen(port, host)
        .replaceWithVoid();
  }
}
