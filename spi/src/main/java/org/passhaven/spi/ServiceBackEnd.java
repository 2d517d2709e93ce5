package org.passhaven.spi;

import io.smallrye.mutiny.Uni;
import java.util.Objects;

/** Client of the servers of named services, such as scorers. */
public interface ServiceBackEnd {
  /** A request to forward; {@code idempotencyKey} is empty if there is none. */
  record Request(
      String method, String path, String contentType, byte[] body, String idempotencyKey) {
    public Request {
      Objects.requireNonNull(method, "method");
      Objects.requireNonNull(body, "body");
    }
  }

  /** A complete response. */
  record Response(int status, String contentType, byte[] body) {}

  /**
   * Sends a request and returns the complete response. Fails with {@link PlatformException}: {@code
   * NOT_RUN} if no byte was sent or the server said so, otherwise {@code OUTCOME_UNKNOWN}.
   */
  Uni<Response> call(String address, Request request, long limitMillis);
}
