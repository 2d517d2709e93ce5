package org.passhaven.node.http;

import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.util.Objects;
import org.passhaven.node.request.RequestOutcome;
import org.passhaven.node.request.RequestService;
import org.passhaven.node.request.RequestService.CallerRequest;
import org.passhaven.spi.ServiceBackEnd;
import org.passhaven.standin.Headers;

/** Handles callers' requests to services, at {@code /services/NAME/PATH}. */
final class ServiceHandler {
  private static final String PREFIX = "/services/";
  private static final int MAX_KEY_LENGTH = 255;
  private final RequestService requests;

  ServiceHandler(RequestService requests) {
    this.requests = Objects.requireNonNull(requests, "requests");
  }

  void addTo(Router router) {
    router.route(PREFIX + ":service/*").handler(this::handle);
  }

  private void handle(RoutingContext routing) {
    String service = routing.pathParam("service");
    String uri = routing.request().uri();
    String path = uri.substring(uri.indexOf(service, PREFIX.length()) + service.length());
    String key = header(routing, Headers.IDEMPOTENCY_KEY);
    if (key.length() > MAX_KEY_LENGTH) {
      throw new HttpMessages.InvalidRequestException(
          Headers.IDEMPOTENCY_KEY + ": at most " + MAX_KEY_LENGTH + " characters");
    }
    Buffer body = routing.body().buffer();
    ServiceBackEnd.Request request =
        new ServiceBackEnd.Request(
            routing.request().method().name(),
            path,
            header(routing, "Content-Type"),
            body == null ? new byte[0] : body.getBytes(),
            key);
    requests
        .call(
            new CallerRequest(
                service, request, header(routing, Headers.CALLER), deadlineMillis(routing)))
        .subscribe()
        .with(outcome -> sendOutcome(routing, outcome));
  }

  private static String header(RoutingContext routing, String name) {
    String value = routing.request().getHeader(name);
    return value == null ? "" : value;
  }

  private static long deadlineMillis(RoutingContext routing) {
    String value = header(routing, Headers.DEADLINE);
    if (value.isEmpty()) {
      return 0;
    }
    try {
      return Math.max(1, Long.parseLong(value));
    } catch (NumberFormatException e) {
      throw new HttpMessages.InvalidRequestException(
          Headers.DEADLINE + ": must be a whole number of milliseconds");
    }
  }

  private static void sendOutcome(RoutingContext routing, RequestOutcome outcome) {
    if (outcome instanceof RequestOutcome.Answered answered) {
      routing
          .response()
          .setStatusCode(answered.response().status())
          .putHeader("Content-Type", answered.response().contentType())
          .endAndForget(Buffer.buffer(answered.response().body()));
    } else if (outcome instanceof RequestOutcome.RefusedNotRun refused) {
      int status =
          refused.retryAfterMillis() > 0 ? HttpMessages.UNAVAILABLE : HttpMessages.UNPROCESSABLE;
      HttpMessages.sendProblem(
          routing, Problem.notRun(status, refused.reason()), refused.retryAfterMillis());
    } else if (outcome instanceof RequestOutcome.OutcomeUnknown unknown) {
      HttpMessages.sendProblem(
          routing, Problem.unknown(HttpMessages.GATEWAY_TIMEOUT, unknown.reason()), 0);
    }
  }
}
