package org.passhaven.standin;

import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.util.Objects;
import org.passhaven.spi.MachineList;

/** The platform's machine list over HTTP. */
public final class HttpMachineList implements MachineList {
  private static final long LIMIT_MILLIS = 5_000;
  private final JsonHttp http;
  private final String address;

  /** Creates a client of the list at {@code address}. */
  public HttpMachineList(WebClient client, String address) {
    this.http = new JsonHttp(client);
    this.address = Objects.requireNonNull(address, "address");
  }

  @Override
  public Uni<Listing> fetch(long knownVersion) {
    return http.get(address, "/machines?since=" + knownVersion, Listing.class, LIMIT_MILLIS);
  }
}
