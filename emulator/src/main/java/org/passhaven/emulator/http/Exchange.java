package org.passhaven.emulator.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.io.IOException;
import org.passhaven.standin.Headers;

/** Reads and writes the JSON of stand-ins. */
final class Exchange {
  static final int BAD_REQUEST = 400;
  static final int UNAVAILABLE = 503;
  private static final ObjectMapper MAPPER =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  private Exchange() {}

  static <T> T read(RoutingContext routing, Class<T> type) {
    return parse(routing.body().buffer().getBytes(), type);
  }

  static <T> T parse(byte[] bytes, Class<T> type) {
    try {
      return MAPPER.readValue(bytes, type);
    } catch (IOException e) {
      throw new IllegalArgumentException("unreadable body", e);
    }
  }

  static void answer(RoutingContext routing, Object value) {
    if (!routing.response().ended() && !routing.response().closed()) {
      routing
          .response()
          .putHeader("Content-Type", "application/json")
          .endAndForget(Buffer.buffer(write(value)));
    }
  }

  static byte[] write(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("unwritable answer", e);
    }
  }

  static void refuseNotRun(RoutingContext routing) {
    routing.response().setStatusCode(UNAVAILABLE).putHeader(Headers.NOT_RUN, "true").endAndForget();
  }

  static long longParameter(RoutingContext routing, String name) {
    return Long.parseLong(routing.request().getParam(name));
  }
}
