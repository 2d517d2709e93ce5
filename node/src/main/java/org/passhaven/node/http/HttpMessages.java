package org.passhaven.node.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.io.IOException;
import org.passhaven.node.run.RolloutService.RolloutException;
import org.passhaven.spi.PlatformException;

/** Reads JSON request bodies and sends JSON responses and problem details. */
final class HttpMessages {
  static final int OK = 200;
  static final int ACCEPTED = 202;
  static final int BAD_REQUEST = 400;
  static final int NOT_FOUND = 404;
  static final int CONFLICT = 409;
  static final int UNPROCESSABLE = 422;
  static final int TOO_MANY_REQUESTS = 429;
  static final int INTERNAL_ERROR = 500;
  static final int UNAVAILABLE = 503;
  static final int GATEWAY_TIMEOUT = 504;
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .build();

  /** Thrown when a request's body, header or path is invalid; the response is 400. */
  static final class InvalidRequestException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    InvalidRequestException(String message) {
      super(message);
    }
  }

  private HttpMessages() {}

  static <T> T readBody(RoutingContext routing, Class<T> type) {
    Buffer body = routing.body().buffer();
    if (body == null) {
      throw new InvalidRequestException("a JSON body is needed");
    }
    try {
      T value = MAPPER.readValue(body.getBytes(), type);
      if (value == null) {
        throw new InvalidRequestException("a JSON object is needed");
      }
      return value;
    } catch (JsonProcessingException e) {
      throw new InvalidRequestException(e.getOriginalMessage());
    } catch (IOException e) {
      throw new InvalidRequestException(String.valueOf(e.getMessage()));
    }
  }

  static void sendJson(RoutingContext routing, int status, Object value) {
    send(routing, status, "application/json", value);
  }

  static void sendProblem(RoutingContext routing, Problem problem, long retryAfterMillis) {
    if (retryAfterMillis > 0) {
      long seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
      routing.response().putHeader("Retry-After", Long.toString(seconds));
    }
    send(routing, problem.status(), Problem.MEDIA_TYPE, problem);
  }

  private static void send(RoutingContext routing, int status, String mediaType, Object value) {
    if (routing.response().ended() || routing.response().closed()) {
      return;
    }
    routing
        .response()
        .setStatusCode(status)
        .putHeader("Content-Type", mediaType)
        .endAndForget(Buffer.buffer(toJson(value)));
  }

  static byte[] toJson(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("an answer can't be written", e);
    }
  }

  /** Sends the problem details for a failure; chooses the status by the failure's type. */
  static void sendFailure(RoutingContext routing, Throwable failure) {
    if (failure instanceof InvalidRequestException || failure instanceof IllegalArgumentException) {
      sendProblem(routing, Problem.notRun(BAD_REQUEST, failure.getMessage()), 0);
    } else if (failure instanceof RolloutException) {
      sendProblem(routing, Problem.notRun(UNPROCESSABLE, failure.getMessage()), 0);
    } else if (failure instanceof PlatformException platformFailure
        && platformFailure.kind() == PlatformException.Kind.NOT_RUN) {
      sendProblem(routing, Problem.notRun(UNAVAILABLE, failure.getMessage()), MILLIS_PER_SECOND);
    } else if (failure instanceof PlatformException) {
      sendProblem(
          routing, Problem.unknown(GATEWAY_TIMEOUT, failure.getMessage()), MILLIS_PER_SECOND);
    } else {
      sendProblem(routing, Problem.unknown(INTERNAL_ERROR, "internal error"), 0);
    }
  }
}
