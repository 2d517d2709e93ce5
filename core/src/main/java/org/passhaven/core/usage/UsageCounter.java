package org.passhaven.core.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.passhaven.protocol.usage.UsageRecord;

/**
 * Counts the requests of one incarnation of a node that servers ran or may have run, by window and
 * tenant. Not thread-safe.
 */
public final class UsageCounter {
  /**
   * Maximum number of windows held. Older windows have been fixed by then, so their counts have no
   * effect.
   */
  private static final int MAX_WINDOWS = 16;

  private final String node;
  private final long incarnation;
  private final TreeMap<Long, Map<String, Long>> countsByWindow = new TreeMap<>();
  private final Set<Long> unpublishedWindows = new HashSet<>();

  /** Creates the counter of one incarnation of a node. */
  public UsageCounter(String node, long incarnation) {
    this.node = node;
    this.incarnation = incarnation;
  }

  /** Counts a request of a tenant that started in a window. */
  public void onRequestStarted(String tenant, long window) {
    countsByWindow.computeIfAbsent(window, key -> new HashMap<>()).merge(tenant, 1L, Long::sum);
    unpublishedWindows.add(window);
    while (countsByWindow.size() > MAX_WINDOWS) {
      unpublishedWindows.remove(countsByWindow.pollFirstEntry().getKey());
    }
  }

  /** Returns whether counts have changed since they were last taken. */
  public boolean hasUnpublished() {
    return !unpublishedWindows.isEmpty();
  }

  /**
   * Returns records of the counts that have changed since the last call, and marks them as
   * published.
   */
  public List<UsageRecord> takeUnpublished() {
    List<UsageRecord> records = new ArrayList<>();
    unpublishedWindows.forEach(
        window ->
            records.add(new UsageRecord(node, incarnation, window, countsByWindow.get(window))));
    unpublishedWindows.clear();
    return records;
  }

  /**
   * Marks the windows of these records as unpublished, because appending them to the log may have
   * failed.
   */
  public void onPublishFailed(List<UsageRecord> records) {
    records.stream()
        .map(UsageRecord::window)
        .filter(countsByWindow::containsKey)
        .forEach(unpublishedWindows::add);
  }
}
