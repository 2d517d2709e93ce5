package org.passhaven.spi;

import java.util.Objects;

/** The external services that a node uses. */
public record Platform(
    LogService log,
    MachineList machines,
    EngineService engines,
    ServiceBackEnd services,
    PeerTransport peers) {
  public Platform {
    Objects.requireNonNull(log, "log");
    Objects.requireNonNull(machines, "machines");
    Objects.requireNonNull(engines, "engines");
    Objects.requireNonNull(services, "services");
    Objects.requireNonNull(peers, "peers");
  }
}
