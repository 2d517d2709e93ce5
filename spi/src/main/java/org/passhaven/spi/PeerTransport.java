package org.passhaven.spi;

import io.smallrye.mutiny.Uni;
import org.passhaven.protocol.PeerRequest;
import org.passhaven.protocol.PeerResponse;

/** Sends messages to other passhaven nodes. */
public interface PeerTransport {
  /** Sends a request and returns the response. Fails with {@link PlatformException}. */
  Uni<PeerResponse> call(String address, PeerRequest request, long limitMillis);
}
