package org.passhaven.node.gateway;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** One-shot callbacks that run at the next change of a job. Not thread-safe. */
final class JobWaiters {
  private final Map<String, Set<Runnable>> tasksByJob = new HashMap<>();

  /** Registers a task that runs once, at the next change of the job. */
  void add(String job, Runnable task) {
    tasksByJob.computeIfAbsent(job, id -> new LinkedHashSet<>()).add(task);
  }

  /** Removes a registered task. */
  void remove(String job, Runnable task) {
    Set<Runnable> tasks = tasksByJob.get(job);
    if (tasks != null && tasks.remove(task) && tasks.isEmpty()) {
      tasksByJob.remove(job);
    }
  }

  /** Removes and runs all tasks that wait for a change of the job. */
  void runAll(String job) {
    Set<Runnable> tasks = tasksByJob.remove(job);
    if (tasks != null) {
      List.copyOf(tasks).forEach(Runnable::run);
    }
  }
}
