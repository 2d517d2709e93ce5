package org.passhaven.protocol.usage;

import java.util.Map;
import java.util.Objects;

/**
 * Requests that one start of a node has brought to run in one window so far. Of two records of the
 * same start and window the higher counts hold, so a copy or a late one changes nothing.
 *
 * @param incarnation start of the node
 * @param window number of the window
 * @param counts requests by tenant
 */
public record UsageRecord(String node, long incarnation, long window, Map<String, Long> counts) {
  public UsageRecord {
    Objects.requireNonNull(node, "node");
    counts = Map.copyOf(counts);
  }
}
