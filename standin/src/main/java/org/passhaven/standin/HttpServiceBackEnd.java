package org.passhaven.standin;

import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import io.vertx.mutiny.ext.web.client.WebClient;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.PlatformException.Kind;
import org.passhaven.spi.ServiceBackEnd;

/** Service servers over HTTP, each call over a connection of its own. */
public final class HttpServiceBackEnd implements ServiceBackEnd {

  private static final int SERVICE_UNAVAILABLE = 503;
  private final WebClient client;

  /** Creates a client with connections of its own. */
  public HttpServiceBackEnd(Vertx vertx, WebClientOptions options) {
    this.client = WebClient.create(vertx, BackEndConnections.oneCallEach(options));
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
    JsonHttp.requireStatus(response.statusCode());
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
