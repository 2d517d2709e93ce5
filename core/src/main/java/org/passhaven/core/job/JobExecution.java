package org.passhaven.core.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.passhaven.protocol.job.TextRecord.TextPart;

/** Execution of one job at this node: its policy and the progress of its items. Not thread-safe. */
final class JobExecution {
  final Job job;
  private JobPolicy policy;
  final Map<String, ItemExecution> items = new LinkedHashMap<>();
  private final List<ItemExecution> startOrder;

  JobExecution(Job job, JobPolicy policy) {
    this.job = job;
    this.policy = policy;
    job.items()
        .forEach(
            item -> {
              ItemExecution execution = new ItemExecution(this, item);
              if (job.hasResult(item.id())) {
                execution.phase = ItemExecution.Phase.DONE;
              }
              items.putIfAbsent(item.id(), execution);
            });
    assignServices();
    startOrder = new ArrayList<>(items.values());
    startOrder.sort(
        Comparator.comparingLong((ItemExecution execution) -> -execution.item.expectedTokens()));
  }

  JobPolicy policy() {
    return policy;
  }

  void updatePolicy(JobPolicy newPolicy) {
    boolean areSharesChanged = !policy.shares().equals(newPolicy.shares());
    policy = newPolicy;
    if (areSharesChanged) {
      assignServices();
    }
  }

  /** Assigns each item a service; one that has begun keeps its service while the route has it. */
  private void assignServices() {
    Map<String, String> services =
        ItemDistribution.serviceByItem(job.id(), job.items(), policy.shares());
    List<String> allowed = policy.services();
    for (ItemExecution execution : items.values()) {
      if (execution.attempts == 0 || !allowed.contains(execution.service)) {
        execution.service = services.get(execution.item.id());
      }
    }
  }

  /**
   * Returns the items that wait for a server, the longest first, since a group is complete only
   * with its longest item: its shorter items need not start before longer ones of other groups.
   */
  List<ItemExecution> itemsToStart(long nowMillis) {
    return startOrder.stream()
        .filter(
            execution ->
                execution.phase == ItemExecution.Phase.WAITING
                    && execution.retryAtMillis <= nowMillis)
        .toList();
  }

  /** Returns the parts of texts that are not in the log and marks them as saved. */
  List<TextPart> takeUnsaved() {
    return items.values().stream()
        .filter(ItemExecution::isUnsaved)
        .map(ItemExecution::takeUnsaved)
        .toList();
  }

  boolean isDone() {
    return items.values().stream()
        .allMatch(execution -> execution.phase == ItemExecution.Phase.DONE);
  }
}
