package org.passhaven.core.usage;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.passhaven.protocol.usage.UsageRecord;

/**
 * Number of requests by window, node incarnation and tenant, built from the usage records of all
 * nodes in the log. Not thread-safe.
 */
public final class UsageTable {
  private final TreeMap<Long, Map<Incarnation, Map<String, Long>>> countsByWindow = new TreeMap<>();

  /** Offset of the first record of each window. */
  private final TreeMap<Long, Long> firstOffsetByWindow = new TreeMap<>();

  private record Incarnation(String node, long incarnation) {}

  /** Applies the record at an offset; duplicate and outdated records have no effect. */
  public void onRecord(UsageRecord record, long offset) {
    firstOffsetByWindow.merge(record.window(), offset, Math::min);
    Map<String, Long> counts =
        countsByWindow
            .computeIfAbsent(record.window(), key -> new HashMap<>())
            .computeIfAbsent(
                new Incarnation(record.node(), record.incarnation()), key -> new HashMap<>());
    record.counts().forEach((tenant, count) -> counts.merge(tenant, count, Math::max));
  }

  /** Returns the number of requests in a window by tenant, added up over all nodes. */
  public Map<String, Long> totals(long window) {
    Map<String, Long> totals = new HashMap<>();
    countsByWindow
        .getOrDefault(window, Map.of())
        .values()
        .forEach(
            counts -> counts.forEach((tenant, count) -> totals.merge(tenant, count, Long::sum)));
    return totals;
  }

  /** Returns the lowest offset of a record of a later window; empty if there is none. */
  public OptionalLong firstOffsetAfter(long window) {
    return firstOffsetByWindow.tailMap(window, false).values().stream()
        .mapToLong(Long::longValue)
        .min();
  }

  /** Removes all windows up to and including {@code window}. */
  public void removeUpTo(long window) {
    countsByWindow.headMap(window, true).clear();
    firstOffsetByWindow.headMap(window, true).clear();
  }
}
