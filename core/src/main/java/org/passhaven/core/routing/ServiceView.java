package org.passhaven.core.routing;

import java.util.Objects;
import org.passhaven.protocol.ServerId;

/**
 * What a node knows of a service server when it chooses one.
 *
 * @param outstanding own requests on it now
 * @param share part of a normal load that it may get, from 0 to 1
 */
public record ServiceView(ServerId id, String address, String zone, int outstanding, double share) {
  public ServiceView {
    Objects.requireNonNull(id, "id");
  }
}
