package org.passhaven.core.routing;

import java.util.Objects;
import org.passhaven.protocol.ServerId;

/**
 * A node's current view of a server of a service, used for server selection.
 *
 * @param outstanding number of requests of this node in progress at the server
 * @param share fraction of the normal load that the server may get, from 0 to 1
 */
public record ServiceView(ServerId id, String address, String zone, int outstanding, double share) {
  public ServiceView {
    Objects.requireNonNull(id, "id");
  }
}
