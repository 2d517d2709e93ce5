package org.passhaven.emulator.http;

import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpMethod;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.net.ConnectException;
import java.util.Objects;
import org.passhaven.emulator.check.Checker.Told;
import org.passhaven.emulator.load.CallerApi;
import org.passhaven.standin.Address;
import org.passhaven.standin.Headers;

/** A caller's requests over HTTP to one node. */
final class HttpCallerApi implements CallerApi {
  private static final long LIMIT_MILLIS = 10_000;
  private static final int STATUS_OK = 200;
  private static final String NOT_RUN_OUTCOME = "refused-not-run";
  private final WebClient client;
  private final Address node;

  HttpCallerApi(WebClient client, String node) {
    this.client = Objects.requireNonNull(client, "client");
    this.node = Address.parse(node);
  }

  @Override
  public Uni<Word> send(String service, String method, String path, byte[] body, String key) {
    var request =
        client
            .request(
                HttpMethod.valueOf(method), node.port(), node.host(), "/services/" + service + path)
            .timeout(LIMIT_MILLIS);
    if (!key.isEmpty()) {
      request.putHeader(Headers.IDEMPOTENCY_KEY, key);
    }
    return request
        .sendBuffer(Buffer.buffer(body))
        .map(HttpCallerApi::toWord)
        .onFailure()
        .recoverWithItem(
            failure ->
                new Word(
                    failure instanceof ConnectException
                        ? Told.REFUSED_NOT_RUN
                        : Told.OUTCOME_UNKNOWN,
                    new byte[0]));
  }

  private static Word toWord(HttpResponse<Buffer> response) {
    if (response.statusCode() == STATUS_OK) {
      return new Word(
          Told.ANSWERED, response.body() == null ? new byte[0] : response.body().getBytes());
    }
    String problem = response.bodyAsString();
    boolean notRun = problem != null && problem.contains(NOT_RUN_OUTCOME);
    return new Word(notRun ? Told.REFUSED_NOT_RUN : Told.OUTCOME_UNKNOWN, new byte[0]);
  }
}
