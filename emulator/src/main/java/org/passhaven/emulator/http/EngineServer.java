package org.passhaven.emulator.http;

import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.core.http.HttpServerResponse;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import org.passhaven.emulator.model.EngineModel;
import org.passhaven.protocol.Segment;
import org.passhaven.spi.EngineService.GenerationRequest;
import org.passhaven.spi.EngineService.OrderOutcome;
import org.passhaven.spi.EngineService.VersionOrder;
import org.passhaven.spi.Timers;
import org.passhaven.standin.HttpEngineService;

/** An engine stand-in behind HTTP. */
final class EngineServer {
  record OrderAnswer(OrderOutcome outcome) {}

  private final EngineModel engine;
  private final Timers timers;
  private boolean stepping;

  EngineServer(EngineModel engine, Timers timers) {
    this.engine = Objects.requireNonNull(engine, "engine");
    this.timers = Objects.requireNonNull(timers, "timers");
  }

  Router router(Vertx vertx) {
    Router router = Router.router(vertx);
    router.route().handler(io.vertx.mutiny.ext.web.handler.BodyHandler.create(false));
    router.post("/v1/completions").handler(this::complete);
    router.post("/v1/orders").handler(this::order);
    router
        .get("/v1/load")
        .handler(routing -> Exchange.answer(routing, engine.report(timers.nowMillis())));
    return router;
  }

  private void complete(RoutingContext routing) {
    GenerationRequest request = Exchange.read(routing, GenerationRequest.class);
    HttpServerResponse response = routing.response();
    response.setChunked(true).putHeader("Content-Type", "text/event-stream");
    response.closeHandler(() -> engine.cancel(request.requestId()));
    engine.submit(request, new EventSink(response));
    keepStepping();
  }

  private void order(RoutingContext routing) {
    VersionOrder order = Exchange.read(routing, VersionOrder.class);
    engine.order(
        order, timers.nowMillis(), outcome -> Exchange.answer(routing, new OrderAnswer(outcome)));
    keepStepping();
  }

  private void keepStepping() {
    if (!stepping && engine.isBusy()) {
      stepping = true;
      timers.after(engine.stepMillis(), this::step);
    }
  }

  private void step() {
    stepping = false;
    engine.step(timers.nowMillis());
    keepStepping();
  }

  private static final class EventSink implements EngineModel.Sink {
    private final HttpServerResponse response;

    EventSink(HttpServerResponse response) {
      this.response = response;
    }

    @Override
    public void onTokens(Segment segment) {
      HttpEngineService.Event event =
          new HttpEngineService.Event(
              segment.tokens(), segment.version(), segment.engine().value(), segment.incarnation());
      write(new String(Exchange.write(event), StandardCharsets.UTF_8));
    }

    @Override
    public void onFinished() {
      write(HttpEngineService.END_OF_STREAM);
      if (!response.ended() && !response.closed()) {
        response.endAndForget();
      }
    }

    @Override
    public void onLost() {
      response.reset();
    }

    private void write(String data) {
      if (!response.ended() && !response.closed()) {
        response.writeAndForget(Buffer.buffer("data: " + data + "\n\n"));
      }
    }
  }
}
