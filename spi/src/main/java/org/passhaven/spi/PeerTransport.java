package org.passhaven.spi;

import io.smallrye.mutiny.Uni;
import org.passhaven.protocol.PeerRequest;
import org.passhaven.protocol.PeerResponse;

/** Messages to other passhaven nodes. */
public interface PeerTransport {
  /** Sends a request; fails with {@link PlatformException}. */
  Uni<PeerResponse> call(String address, PeerRequest request, long limitMillis);
}
