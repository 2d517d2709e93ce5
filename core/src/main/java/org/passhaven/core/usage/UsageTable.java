package org.passhaven.core.usage;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.passhaven.protocol.usage.UsageRecord;

/** Fold of the counts of all nodes. Not thread-safe. */
public final class UsageTable {
  private final TreeMap<Long, Map<Start, Map<String, Long>>> windows = new TreeMap<>();

  /** Where the first record of each window stands. */
  private final TreeMap<Long, Long> offsets = new TreeMap<>();

  private record Start(String node, long incarnation) {}

  /** Folds the record at an offset; one that comes again or late changes nothing. */
  public void onRecord(UsageRecord record, long offset) {
    offsets.merge(record.window(), offset, Math::min);
    Map<String, Long> counts =
        windows
            .computeIfAbsent(record.window(), key -> new HashMap<>())
            .computeIfAbsent(
                new Start(record.node(), record.incarnation()), key -> new HashMap<>());
    record.counts().forEach((tenant, count) -> counts.merge(tenant, count, Math::max));
  }

  /** Requests by tenant that all nodes together told of a window. */
  public Map<String, Long> totals(long window) {
    Map<String, Long> totals = new HashMap<>();
    windows
        .getOrDefault(window, Map.of())
        .values()
        .forEach(
            counts -> counts.forEach((tenant, count) -> totals.merge(tenant, count, Long::sum)));
    return totals;
  }

  /** The lowest offset of a record of a later window; empty if there is none. */
  public OptionalLong firstOffsetBehind(long window) {
    return offsets.tailMap(window, false).values().stream().mapToLong(Long::longValue).min();
  }

  /** Forgets windows up to and including one. */
  public void forgetTo(long window) {
    windows.headMap(window, true).clear();
    offsets.headMap(window, true).clear();
  }
}
