package org.passhaven.standin;

import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.util.List;
import java.util.Objects;
import org.passhaven.spi.LogService;

/** The platform's log over HTTP. */
public final class HttpLogService implements LogService {
  private static final long LIMIT_MILLIS = 5_000;

  /** Body of an append. */
  public record AppendBody(List<byte[]> records) {}

  /** Answer to an append. */
  public record Appended(long firstOffset) {}

  private final JsonHttp http;
  private final String address;

  /** Creates a client of the log at {@code address}. */
  public HttpLogService(WebClient client, String address) {
    this.http = new JsonHttp(client);
    this.address = Objects.requireNonNull(address, "address");
  }

  @Override
  public Uni<Long> append(String stream, List<byte[]> records) {
    return http.post(
            address,
            "/streams/" + stream + "/records",
            new AppendBody(records),
            Appended.class,
            LIMIT_MILLIS)
        .map(Appended::firstOffset);
  }

  @Override
  public Uni<Batch> read(String stream, long fromOffset, int most, long waitMillis) {
    String path =
        "/streams/"
            + stream
            + "/records?from="
            + fromOffset
            + "&most="
            + most
            + "&waitMillis="
            + waitMillis;
    return http.get(address, path, Batch.class, waitMillis + LIMIT_MILLIS);
  }
}
