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

/** Reads bodies and writes answers. */
final class Answers {
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

  /** A body that can't be read. */
  static final class BadBodyException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    BadBodyException(String message) {
      super(message);
    }
  }

  private Answers() {}

  static <T> T body(RoutingContext routing, Class<T> type) {
    Buffer body = routing.body().buffer();
    if (body == null) {
      throw new BadBodyException("a JSON body is needed");
    }
    try {
      T value = MAPPER.readValue(body.getBytes(), type);
      if (value == null) {
        throw new BadBodyException("a JSON object is needed");
      }
      return value;
    } catch (JsonProcessingException e) {
      throw new BadBodyException(e.getOriginalMessage());
    } catch (IOException e) {
      throw new BadBodyException(String.valueOf(e.getMessage()));
    }
  }

  static void json(RoutingContext routing, int status, Object value) {
    send(routing, status, "application/json", value);
  }

  static void problem(RoutingContext routing, Problem problem, long retryAfterMillis) {
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
        .endAndForget(Buffer.buffer(write(value)));
  }

  static byte[] write(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("an answer can't be written", e);
    }
  }

  /** Answers a failure of this layer or of those below. */
  static void failure(RoutingContext routing, Throwable failure) {
    if (failure instanceof BadBodyException || failure instanceof IllegalArgumentException) {
      problem(routing, Problem.notRun(BAD_REQUEST, failure.getMessage()), 0);
    } else if (failure instanceof RolloutException) {
      problem(routing, Problem.notRun(UNPROCESSABLE, failure.getMessage()), 0);
    } else if (failure instanceof PlatformException known
        && known.kind() == PlatformException.Kind.NOT_RUN) {
      problem(routing, Problem.notRun(UNAVAILABLE, failure.getMessage()), MILLIS_PER_SECOND);
    } else if (failure instanceof PlatformException) {
      problem(routing, Problem.unknown(GATEWAY_TIMEOUT, failure.getMessage()), MILLIS_PER_SECOND);
    } else {
      problem(routing, Problem.unknown(INTERNAL_ERROR, "internal error"), 0);
    }
  }
}
