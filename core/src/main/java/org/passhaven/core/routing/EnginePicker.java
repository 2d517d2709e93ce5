package org.passhaven.core.routing;

import java.util.Optional;
import org.passhaven.protocol.ServerId;

/**
 * Chooses engines for one round of dispatch over a fixed set of views. Counts what it hands out.
 * Not thread-safe; one picker a round.
 */
public interface EnginePicker {
  /**
   * An engine among those that serve at least {@code oldestVersion}; empty if none takes more now.
   *
   * @param affinity engine that holds the prompt's prefix, or null
   */
  Optional<EngineView> pick(long oldestVersion, ServerId affinity);
}
