package org.passhaven.core.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.passhaven.protocol.job.TextRecord.TextPart;

/** The items of one job that this node runs. Not thread-safe. */
final class JobWork {
  final Job job;
  JobPolicy policy;
  final Map<String, ItemRun> runs = new LinkedHashMap<>();
  private final List<ItemRun> startOrder;

  JobWork(Job job, JobPolicy policy) {
    this.job = job;
    this.policy = policy;
    job.submission()
        .items()
        .forEach(
            item -> {
              ItemRun run = new ItemRun(this, item);
              if (job.isListed(item.id())) {
                run.phase = ItemRun.Phase.DONE;
              }
              runs.putIfAbsent(item.id(), run);
            });
    startOrder = new ArrayList<>(runs.values());
    startOrder.sort(Comparator.comparingLong((ItemRun run) -> -run.item.expectedTokens()));
  }

  /**
   * Items that wait for a server, the longest first: a group ends with its longest item, and the
   * others of it need not begin before longer ones of other groups.
   */
  List<ItemRun> waiting(long nowMillis) {
    return startOrder.stream()
        .filter(run -> run.phase == ItemRun.Phase.WAITING && run.notBefore <= nowMillis)
        .toList();
  }

  /** What the log lacks of the texts; counts as being there from now on. */
  List<TextPart> takeUnsaved() {
    return runs.values().stream().filter(ItemRun::isUnsaved).map(ItemRun::takeUnsaved).toList();
  }

  boolean isDone() {
    return runs.values().stream().allMatch(run -> run.phase == ItemRun.Phase.DONE);
  }
}
