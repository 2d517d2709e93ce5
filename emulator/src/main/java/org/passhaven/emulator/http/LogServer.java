package org.passhaven.emulator.http;

import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.util.Objects;
import org.passhaven.emulator.model.LogModel;
import org.passhaven.spi.Timers;
import org.passhaven.standin.HttpLogService;

/** The log stand-in behind HTTP. */
final class LogServer {
  private static final int MOST_BODY_BYTES = 64 << 20;
  private final LogModel log;
  private final Timers timers;

  LogServer(LogModel log, Timers timers) {
    this.log = Objects.requireNonNull(log, "log");
    this.timers = Objects.requireNonNull(timers, "timers");
  }

  Router router(Vertx vertx) {
    Router router = Router.router(vertx);
    router
        .route()
        .handler(
            io.vertx.mutiny.ext.web.handler.BodyHandler.create(false)
                .setBodyLimit(MOST_BODY_BYTES));
    router.post("/streams/:stream/records").handler(this::append);
    router.get("/streams/:stream/records").handler(this::read);
    return router;
  }

  private void append(RoutingContext routing) {
    HttpLogService.AppendBody body = Exchange.read(routing, HttpLogService.AppendBody.class);
    long first = log.append(routing.pathParam("stream"), body.records());
    Exchange.answer(routing, new HttpLogService.Appended(first));
  }

  private void read(RoutingContext routing) {
    String stream = routing.pathParam("stream");
    long from = Exchange.longParameter(routing, "from");
    int most = (int) Exchange.longParameter(routing, "most");
    long wait = Exchange.longParameter(routing, "waitMillis");
    if (wait <= 0 || log.hasRecord(stream, from)) {
      Exchange.answer(routing, log.read(stream, from, most));
      return;
    }
    boolean[] answered = new boolean[1];
    Runnable answer =
        () -> {
          if (!answered[0]) {
            answered[0] = true;
            Exchange.answer(routing, log.read(stream, from, most));
          }
        };
    log.onNextAppend(stream, answer);
    timers.after(wait, answer);
  }
}
