package org.passhaven.node.gateway;

import org.passhaven.core.backend.ServerEntry;
import org.passhaven.spi.BackEndService.Target;

/** Converts server entries to call targets. */
final class ServerTargets {
  private ServerTargets() {}

  static Target of(ServerEntry server) {
    return new Target(server.incarnation().id(), server.address());
  }
}
