package org.passhaven.core.routing;

import java.util.Objects;
import org.passhaven.protocol.ServerId;

/**
 * What a node knows of an engine when it chooses one.
 *
 * @param id the engine
 * @param address host and port
 * @param zone its zone
 * @param incarnation its start, as last reported
 * @param version weight version that it serves, as last reported
 * @param capacity sequences that it runs at once
 * @param load sequences estimated to be on it now: those of others as reported, own ones as known
 * @param usable false if it leaves, is unreachable, or is left out after failures
 */
public record EngineView(
    ServerId id,
    String address,
    String zone,
    long incarnation,
    long version,
    int capacity,
    int load,
    boolean usable) {
  public EngineView {
    Objects.requireNonNull(id, "id");
  }

  /** Sequences that it can take at once. */
  public int room() {
    return usable ? Math.max(0, capacity - load) : 0;
  }
}
