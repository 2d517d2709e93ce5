package org.passhaven.core.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.passhaven.protocol.job.TextRecord.TextPart;

/** The items of one job that this node runs. Not thread-safe. */
final class JobExecution {
  final Job job;
  JobPolicy policy;
  final Map<String, ItemExecution> items = new LinkedHashMap<>();
  private final List<ItemExecution> startOrder;

  JobExecution(Job job, JobPolicy policy) {
    this.job = job;
    this.policy = policy;
    job.submission()
        .items()
        .forEach(
            item -> {
              ItemExecution run = new ItemExecution(this, item);
              if (job.hasResult(item.id())) {
                run.phase = ItemExecution.Phase.DONE;
              }
              items.putIfAbsent(item.id(), run);
            });
    startOrder = new ArrayList<>(items.values());
    startOrder.sort(Comparator.comparingLong((ItemExecution run) -> -run.item.expectedTokens()));
  }

  /**
   * Items that wait for a server, the longest first: a group ends with its longest item, and the
   * others of it need not begin before longer ones of other groups.
   */
  List<ItemExecution> itemsToStart(long nowMillis) {
    return startOrder.stream()
        .filter(run -> run.phase == ItemExecution.Phase.WAITING && run.retryAtMillis <= nowMillis)
        .toList();
  }

  /** What the log lacks of the texts; counts as being there from now on. */
  List<TextPart> takeUnsaved() {
    return items.values().stream()
        .filter(ItemExecution::isUnsaved)
        .map(ItemExecution::takeUnsaved)
        .toList();
  }

  boolean isDone() {
    return items.values().stream().allMatch(run -> run.phase == ItemExecution.Phase.DONE);
  }
}
