package org.passhaven.emulator.http;

import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.util.Objects;
import org.passhaven.emulator.model.ServiceModel;
import org.passhaven.spi.ServiceBackEnd.Request;
import org.passhaven.spi.ServiceBackEnd.Response;
import org.passhaven.spi.Timers;

/** A service stand-in behind HTTP. */
final class ServiceServer {
  private final ServiceModel service;
  private final Timers timers;
  private final long answerMillis;

  ServiceServer(ServiceModel service, Timers timers, long answerMillis) {
    this.service = Objects.requireNonNull(service, "service");
    this.timers = Objects.requireNonNull(timers, "timers");
    this.answerMillis = answerMillis;
  }

  Router router(Vertx vertx) {
    Router router = Router.router(vertx);
    router.route().handler(io.vertx.mutiny.ext.web.handler.BodyHandler.create(false));
    router.route().handler(this::handle);
    return router;
  }

  private void handle(RoutingContext routing) {
    if (service.isLeaving()) {
      Exchange.refuseNotRun(routing);
      return;
    }
    Buffer body = routing.body().buffer();
    Request request =
        new Request(
            routing.request().method().name(),
            routing.request().uri(),
            "",
            body == null ? new byte[0] : body.getBytes(),
            "");
    Response response = service.run(request);
    timers.after(
        Math.max(1, answerMillis),
        () -> {
          if (!routing.response().ended() && !routing.response().closed()) {
            routing
                .response()
                .setStatusCode(response.status())
                .putHeader("Content-Type", response.contentType())
                .endAndForget(Buffer.buffer(response.body()));
          }
        });
  }
}
