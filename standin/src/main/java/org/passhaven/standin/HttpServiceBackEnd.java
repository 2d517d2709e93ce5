package org.passhaven.standin;

import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpMethod;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.util.Objects;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.PlatformException.Kind;
import org.passhaven.spi.ServiceBackEnd;

/** Service servers over HTTP. */
public final class HttpServiceBackEnd implements ServiceBackEnd {

  private static final int SERVICE_UNAVAILABLE = 503;
  private final WebClient client;

  /** Creates a client. */
  public HttpServiceBackEnd(WebClient client) {
    this.client = Objects.requireNonNull(client, "client");
  }

  @Override
  public Uni<Response> call(String address, Request request, long limitMillis) {
    Address to = Address.parse(address);
    var opened =
        client
            .request(HttpMethod.valueOf(request.method()), to.port(), to.host(), request.path())
            .timeout(Math.max(1, limitMillis))
            .putHeader("Content-Type", request.contentType());
    if (!request.idempotencyKey().isEmpty()) {
      opened.putHeader(Headers.IDEMPOTENCY_KEY, request.idempotencyKey());
    }
    return opened
        .sendBuffer(Buffer.buffer(request.body()))
        .onFailure()
        .transform(failure -> JsonHttp.asPlatformException(failure, address))
        .map(HttpServiceBackEnd::toResponse);
  }

  private static Response toResponse(HttpResponse<Buffer> response) {
    if (response.statusCode() == SERVICE_UNAVAILABLE
        && response.getHeader(Headers.NOT_RUN) != null) {
      throw new PlatformException(Kind.NOT_RUN, "the server refused the request");
    }
    Buffer body = response.body();
    String contentType = response.getHeader("Content-Type");
    return new Response(
        response.statusCode(),
        contentType == null ? "" : contentType,
        body == null ? new byte[0] : body.getBytes());
  }
}
