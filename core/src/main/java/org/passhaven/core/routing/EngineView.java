package org.passhaven.core.routing;

import java.util.Objects;
import org.passhaven.protocol.ServerId;

/**
 * A node's current view of an engine, used for engine selection.
 *
 * @param id the engine
 * @param address host and port
 * @param zone availability zone
 * @param incarnation incarnation last reported
 * @param version weight version last reported
 * @param capacity number of sequences that the engine runs concurrently
 * @param load estimated number of sequences now: those of other nodes as reported, plus those of
 *     this node
 * @param usable false if the engine is leaving, unreachable, or ejected after failures
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

  /** Returns the number of further sequences that the engine can run. */
  public int freeCapacity() {
    return usable ? Math.max(0, capacity - load) : 0;
  }
}
