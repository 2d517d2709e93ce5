package org.passhaven.core.routing;

import java.util.Optional;
import org.passhaven.protocol.ServerId;

/**
 * Chooses engines for one dispatch round over a fixed set of views, counting the sequences assigned
 * so far. Not thread-safe; each round uses a new picker.
 */
public interface EnginePicker {
  /**
   * Returns an engine that serves at least {@code oldestVersion}, or empty if none accepts more
   * sequences.
   *
   * @param affinity engine that has the prompt's prefix cached, or null
   */
  Optional<EngineView> pick(long oldestVersion, ServerId affinity);
}
