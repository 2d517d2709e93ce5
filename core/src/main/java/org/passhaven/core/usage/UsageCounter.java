package org.passhaven.core.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.passhaven.protocol.usage.UsageRecord;

/** Requests that this start of a node has brought to run, by window and tenant. Not thread-safe. */
public final class UsageCounter {
  /** Windows are fixed some seconds after their end; older counts can change nothing. */
  private static final int MOST_WINDOWS = 16;

  private final String node;
  private final long incarnation;
  private final TreeMap<Long, Map<String, Long>> countsByWindow = new TreeMap<>();
  private final Set<Long> untold = new HashSet<>();

  /** Creates the counter of one start of a node. */
  public UsageCounter(String node, long incarnation) {
    this.node = node;
    this.incarnation = incarnation;
  }

  /** A request of a tenant began to run in a window. */
  public void onBegan(String tenant, long window) {
    countsByWindow.computeIfAbsent(window, key -> new HashMap<>()).merge(tenant, 1L, Long::sum);
    untold.add(window);
    while (countsByWindow.size() > MOST_WINDOWS) {
      untold.remove(countsByWindow.pollFirstEntry().getKey());
    }
  }

  /** What has changed since the last call; counts as told from now on. */
  public List<UsageRecord> takeUntold() {
    List<UsageRecord> records = new ArrayList<>();
    untold.forEach(
        window ->
            records.add(new UsageRecord(node, incarnation, window, countsByWindow.get(window))));
    untold.clear();
    return records;
  }

  /** Records that were taken may not be in the log: they are told again. */
  public void onNotTold(List<UsageRecord> records) {
    records.stream()
        .map(UsageRecord::window)
        .filter(countsByWindow::containsKey)
        .forEach(untold::add);
  }
}
