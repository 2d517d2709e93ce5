package org.passhaven.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.ServiceBackEnd;
import org.passhaven.spi.ServiceBackEnd.Response;
import org.passhaven.standin.RawServer.Output;

/** Guards against an answer that stops in its head or body and is taken for a whole one. */
class CutAnswersTest {
  private static final Duration LIMIT = Duration.ofSeconds(10);
  private static final long CALL_MILLIS = 5_000;
  private static final String BODY = "whole";
  private static final String ANSWER =
      "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\n" + BODY;
  private final Vertx vertx = Vertx.vertx();
  private final ServiceBackEnd services =
      new HttpServiceBackEnd(vertx, new WebClientOptions().setMaxPoolSize(1));

  @AfterEach
  void stop() {
    vertx.closeAndAwait();
  }

  @Test
  void anAnswerThatStopsAtAnyByteIsNoAnswer() throws IOException {
    for (int bytes = 0; bytes < ANSWER.length(); bytes++) {
      String part = ANSWER.substring(0, bytes);
      try (RawServer server = closingAfter(part)) {
        assertThrows(PlatformException.class, () -> call(server), part);
      }
    }
  }

  @Test
  void anAnswerThatEndsWithItsLastByteIsWhole() throws IOException {
    try (RawServer server = closingAfter(ANSWER)) {
      assertThat(new String(call(server).body(), StandardCharsets.UTF_8), equalTo(BODY));
    }
  }

  /** Guards against a caller that gets a status which no server can have given. */
  @Test
  void aNumberThatIsNoStatusIsNoAnswer() throws IOException {
    for (String status : List.of("000", "099", "600", "999", "2000")) {
      try (RawServer server = closingAfter(ANSWER.replace("200", status))) {
        assertThrows(PlatformException.class, () -> call(server), status);
      }
    }
  }

  private static RawServer closingAfter(String bytes) throws IOException {
    return new RawServer(() -> () -> new Output(bytes, true));
  }

  private Response call(RawServer server) {
    ServiceBackEnd.Request request =
        new ServiceBackEnd.Request("GET", "/r", "text/plain", new byte[0], "");
    return services.call(server.address(), request, CALL_MILLIS).await().atMost(LIMIT);
  }
}
