package org.passhaven.standin;

import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.util.Objects;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.CodecException;
import org.passhaven.protocol.PeerRequest;
import org.passhaven.protocol.PeerResponse;
import org.passhaven.spi.PeerTransport;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.PlatformException.Kind;

/** MessagePack over HTTP between nodes. */
public final class HttpPeerTransport implements PeerTransport {
  /** Path of the peer interface. */
  public static final String PATH = "/internal/peer";

  /** Media type of the peer interface. */
  public static final String MEDIA_TYPE = "application/vnd.msgpack";

  private static final int STATUS_OK = 200;
  private final WebClient client;

  /** Creates a transport. */
  public HttpPeerTransport(WebClient client) {
    this.client = Objects.requireNonNull(client, "client");
  }

  @Override
  public Uni<PeerResponse> call(String address, PeerRequest request, long limitMillis) {
    Address to = Address.parse(address);
    return client
        .post(to.port(), to.host(), PATH)
        .timeout(Math.max(1, limitMillis))
        .putHeader("Content-Type", MEDIA_TYPE)
        .sendBuffer(Buffer.buffer(Codec.encode(request)))
        .onFailure()
        .transform(failure -> JsonHttp.asPlatformException(failure, address))
        .map(HttpPeerTransport::read);
  }

  private static PeerResponse read(HttpResponse<Buffer> response) {
    if (response.statusCode() != STATUS_OK) {
      throw new PlatformException(Kind.OUTCOME_UNKNOWN, "peer status " + response.statusCode());
    }
    try {
      return Codec.decode(response.body().getBytes(), PeerResponse.class);
    } catch (CodecException e) {
      throw new PlatformException(Kind.OUTCOME_UNKNOWN, "unreadable peer answer", e);
    }
  }
}
