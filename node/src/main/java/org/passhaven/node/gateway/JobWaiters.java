package org.passhaven.node.gateway;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Who waits for news of which job. */
final class JobWaiters {
  private final Map<String, Set<Runnable>> waiting = new HashMap<>();

  /** Runs {@code task} once, at the job's next news. */
  void add(String job, Runnable task) {
    waiting.computeIfAbsent(job, id -> new LinkedHashSet<>()).add(task);
  }

  /** Forgets a task that waits for nothing any more. */
  void remove(String job, Runnable task) {
    Set<Runnable> tasks = waiting.get(job);
    if (tasks != null && tasks.remove(task) && tasks.isEmpty()) {
      waiting.remove(job);
    }
  }

  /** There is news of a job. */
  void wake(String job) {
    Set<Runnable> woken = waiting.remove(job);
    if (woken != null) {
      List.copyOf(woken).forEach(Runnable::run);
    }
  }
}
