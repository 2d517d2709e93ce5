package org.passhaven.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpMethod;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.io.IOException;
import java.net.ConnectException;
import java.util.Objects;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.PlatformException.Kind;

/** JSON over HTTP with this layer's errors. Used on the thread that owns the client. */
final class JsonHttp {

  private static final int MIN_STATUS = 100;
  private static final int MAX_STATUS = 599;
  private static final int FIRST_ERROR_STATUS = 400;
  private static final ObjectMapper MAPPER =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();
  private final WebClient client;

  JsonHttp(WebClient client) {
    this.client = Objects.requireNonNull(client, "client");
  }

  <T> Uni<T> get(String address, String path, Class<T> type, long limitMillis) {
    return send(HttpMethod.GET, address, path, null, limitMillis)
        .map(response -> read(response, type));
  }

  <T> Uni<T> post(String address, String path, Object body, Class<T> type, long limitMillis) {
    return send(HttpMethod.POST, address, path, body, limitMillis)
        .map(response -> read(response, type));
  }

  private Uni<HttpResponse<Buffer>> send(
      HttpMethod method, String address, String path, Object body, long limitMillis) {
    Address to = Address.parse(address);
    var request = client.request(method, to.port(), to.host(), path).timeout(limitMillis);
    Uni<HttpResponse<Buffer>> sent =
        body == null
            ? request.send()
            : request
                .putHeader("Content-Type", "application/json")
                .sendBuffer(Buffer.buffer(write(body)));
    return sent.onFailure().transform(failure -> asPlatformException(failure, address + path));
  }

  /**
   * Turns a client's failure into this layer's error: only a refused connection is known not to
   * have run.
   */
  static PlatformException asPlatformException(Throwable failure, String what) {
    if (failure instanceof PlatformException known) {
      return known;
    }
    Kind kind = failure instanceof ConnectException ? Kind.NOT_RUN : Kind.OUTCOME_UNKNOWN;
    return new PlatformException(kind, what + ": " + failure.getMessage(), failure);
  }

  /** Throws {@link PlatformException} if a number is no status of HTTP (RFC 9110). */
  static void requireStatus(int status) {
    if (status < MIN_STATUS || status > MAX_STATUS) {
      throw new PlatformException(Kind.OUTCOME_UNKNOWN, "no status: " + status);
    }
  }

  private static <T> T read(HttpResponse<Buffer> response, Class<T> type) {
    requireStatus(response.statusCode());
    if (response.statusCode() >= FIRST_ERROR_STATUS) {
      Kind kind = response.getHeader(Headers.NOT_RUN) != null ? Kind.NOT_RUN : Kind.OUTCOME_UNKNOWN;
      throw new PlatformException(kind, "status " + response.statusCode());
    }
    Buffer body = response.body();
    return parse(body == null ? new byte[0] : body.getBytes(), type);
  }

  static <T> T parse(byte[] json, Class<T> type) {
    try {
      return MAPPER.readValue(json, type);
    } catch (IOException e) {
      throw new PlatformException(Kind.OUTCOME_UNKNOWN, "unreadable answer", e);
    }
  }

  static byte[] write(Object body) {
    try {
      return MAPPER.writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new PlatformException(Kind.NOT_RUN, "unwritable request", e);
    }
  }
}
