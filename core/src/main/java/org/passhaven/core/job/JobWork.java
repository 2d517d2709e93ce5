package org.passhaven.core.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.passhaven.protocol.job.JobRecord.ItemProgress;

/** The items of one job that this node runs. Not thread-safe. */
final class JobWork {
  final Job job;
  JobPolicy policy;
  final Map<String, ItemRun> runs = new LinkedHashMap<>();
  private final List<ItemRun> startOrder;

  JobWork(Job job, JobPolicy policy) {
    this.job = job;
    this.policy = policy;
    Map<String, Long> groupTokens = new HashMap<>();
    Map<String, Integer> groupPlace = new HashMap<>();
    job.submission()
        .items()
        .forEach(
            item -> {
              ItemRun run = new ItemRun(this, item);
              if (job.isListed(item.id())) {
                run.phase = ItemRun.Phase.DONE;
              }
              runs.putIfAbsent(item.id(), run);
              groupTokens.merge(item.group(), item.expectedTokens(), Math::max);
              groupPlace.putIfAbsent(item.group(), groupPlace.size());
            });
    startOrder = new ArrayList<>(runs.values());
    startOrder.sort(
        Comparator.comparingLong((ItemRun run) -> -groupTokens.get(run.item.group()))
            .thenComparingInt(run -> groupPlace.get(run.item.group()))
            .thenComparingLong(run -> -run.item.expectedTokens()));
  }

  /** Items that wait for a server: the group with the longest text first, since it ends last. */
  List<ItemRun> waiting(long nowMillis) {
    return startOrder.stream()
        .filter(run -> run.phase == ItemRun.Phase.WAITING && run.notBefore <= nowMillis)
        .toList();
  }

  /** Texts that are not in the log as results. */
  List<ItemProgress> progress() {
    return runs.values().stream()
        .filter(run -> run.phase != ItemRun.Phase.DONE && run.phase != ItemRun.Phase.FINISHING)
        .filter(run -> !run.text.isEmpty())
        .map(
            run ->
                new ItemProgress(
                    job.id(),
                    run.item.id(),
                    run.text.lastEvent(),
                    run.text.data(),
                    run.text.versions(),
                    run.hasWholeText()))
        .toList();
  }

  boolean isDone() {
    return runs.values().stream().allMatch(run -> run.phase == ItemRun.Phase.DONE);
  }
}
