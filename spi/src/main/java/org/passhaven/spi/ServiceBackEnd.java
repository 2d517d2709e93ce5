package org.passhaven.spi;

import io.smallrye.mutiny.Uni;
import java.util.Objects;

/** Servers of named services: portals, till applications, scorers. */
public interface ServiceBackEnd {
  /** A request as it is sent on. {@code idempotencyKey} is empty if there is none. */
  record Request(
      String method, String path, String contentType, byte[] body, String idempotencyKey) {
    public Request {
      Objects.requireNonNull(method, "method");
      Objects.requireNonNull(body, "body");
    }
  }

  /** A whole answer. */
  record Response(int status, String contentType, byte[] body) {}

  /**
   * Sends a request and gives the whole answer. Fails with {@link PlatformException}: not run if no
   * byte was sent or the server said so, else outcome unknown.
   */
  Uni<Response> call(String address, Request request, long limitMillis);
}
