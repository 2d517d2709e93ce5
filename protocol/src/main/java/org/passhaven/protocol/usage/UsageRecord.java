package org.passhaven.protocol.usage;

import java.util.Map;
import java.util.Objects;

/**
 * Number of requests of one incarnation of a node that servers ran or may have run in one window so
 * far, by tenant. The highest counts of the same incarnation and window are used, so duplicate and
 * late records have no effect.
 *
 * @param incarnation incarnation of the node
 * @param window number of the window
 * @param counts number of requests by tenant
 */
public record UsageRecord(String node, long incarnation, long window, Map<String, Long> counts) {
  public UsageRecord {
    Objects.requireNonNull(node, "node");
    counts = Map.copyOf(counts);
  }
}
