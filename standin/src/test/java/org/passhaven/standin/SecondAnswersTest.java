package org.passhaven.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Iterator;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.passhaven.protocol.Segment;
import org.passhaven.spi.EngineService;
import org.passhaven.spi.EngineService.GenerationRequest;
import org.passhaven.spi.ServiceBackEnd;
import org.passhaven.standin.RawServer.Output;

/**
 * Guards against a back end's second answer to a former request that is taken for the answer to the
 * next one on its connection: answers of these back ends carry no id.
 */
class SecondAnswersTest {
  private static final Duration LIMIT = Duration.ofSeconds(10);
  private static final long CALL_MILLIS = 5_000;
  private static final WebClientOptions OPTIONS = new WebClientOptions().setMaxPoolSize(1);
  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void stop() {
    vertx.closeAndAwait();
  }

  @Test
  void aSecondAnswerOfAServiceIsNotTakenForTheNextCallersAnswer() throws Exception {
    try (RawServer server = repeating("first", "second")) {
      HttpServiceBackEnd services = new HttpServiceBackEnd(vertx, OPTIONS);
      assertThat(call(services, server), equalTo("first"));
      assertThat(call(services, server), equalTo("second"));
    }
  }

  @Test
  void aSecondReportIsNotTakenForTheNextOne() throws Exception {
    try (RawServer server = repeating(report(1), report(2))) {
      EngineService engines = engines();
      assertThat(version(engines, server), equalTo(1L));
      assertThat(version(engines, server), equalTo(2L));
    }
  }

  @Test
  void aSecondTextIsNotTakenForTheNextOne() throws Exception {
    try (RawServer server = repeating(text(7), text(8))) {
      EngineService engines = engines();
      assertThat(generate(engines, server), equalTo(7));
      assertThat(generate(engines, server), equalTo(8));
    }
  }

  private EngineService engines() {
    return new HttpEngineService(vertx, OPTIONS);
  }

  private static String call(ServiceBackEnd services, RawServer server) {
    ServiceBackEnd.Request request =
        new ServiceBackEnd.Request("POST", "/r", "text/plain", new byte[1], "");
    byte[] body =
        services.call(server.address(), request, CALL_MILLIS).await().atMost(LIMIT).body();
    return new String(body, StandardCharsets.UTF_8);
  }

  private static long version(EngineService engines, RawServer server) {
    return engines.report(server.address()).await().atMost(LIMIT).version();
  }

  private static int generate(EngineService engines, RawServer server) {
    GenerationRequest request = new GenerationRequest("g", "m", "p", 1, new int[0], 0);
    List<Segment> segments =
        engines.generate(server.address(), request).collect().asList().await().atMost(LIMIT);
    return segments.get(0).tokens()[0];
  }

  /**
   * Starts a server that gives each answer on a connection a second time, in front of the answer to
   * the next request on it.
   */
  private static RawServer repeating(String... bodies) throws IOException {
    Iterator<String> rest = List.of(bodies).iterator();
    return new RawServer(() -> new RepeatingConnection(rest));
  }

  private static final class RepeatingConnection implements RawServer.Connection {
    private final Iterator<String> bodies;
    private String formerAnswer = "";

    RepeatingConnection(Iterator<String> bodies) {
      this.bodies = bodies;
    }

    @Override
    public Output onRequest() {
      String body = bodies.next();
      String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
      Output output = new Output(formerAnswer + answer, false);
      formerAnswer = answer;
      return output;
    }
  }

  private static String report(long version) {
    return "{\"incarnation\":1,\"model\":\"m\",\"version\":" + version + ",\"capacity\":8}";
  }

  private static String text(int token) {
    return "data: {\"tokens\":["
        + token
        + "],\"weightVersion\":1,\"engine\":\"e\",\"incarnation\":1}\n\ndata: [DONE]\n\n";
  }
}
