package org.passhaven.core.job;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.passhaven.protocol.job.TextRecord.TextPart;

/** The jobs that this node runs, in the order in which it started them. Not thread-safe. */
final class RunningJobs {
  private static final int AWAITED_PRIORITY = 2;
  private static final int LATER_PRIORITY = 6;
  private static final int MAX_ROUTE_PRIORITY = 3;
  private final Map<String, JobExecution> jobs = new LinkedHashMap<>();

  /** Returns a job; null if this node does not run it. */
  JobExecution get(String job) {
    return jobs.get(job);
  }

  /** Returns an item of a job; empty if this node does not run the job. */
  Optional<ItemExecution> item(String job, String item) {
    return Optional.ofNullable(jobs.get(job)).map(execution -> execution.items.get(item));
  }

  void put(JobExecution execution) {
    jobs.put(execution.job.id(), execution);
  }

  /** Removes and returns a job; null if this node does not run it. */
  JobExecution remove(String job) {
    return jobs.remove(job);
  }

  boolean isEmpty() {
    return jobs.isEmpty();
  }

  List<String> ids() {
    return List.copyOf(jobs.keySet());
  }

  /** Returns the items of all jobs. */
  Stream<ItemExecution> items() {
    return jobs.values().stream()
        .map(execution -> execution.items.values())
        .flatMap(Collection::stream);
  }

  /** Returns the jobs in order of their steps, since trainers wait for the lowest step first. */
  List<JobExecution> byUrgency() {
    return jobs.values().stream()
        .sorted(
            Comparator.comparingLong((JobExecution execution) -> execution.job.submission().step()))
        .toList();
  }

  /** Returns the priority of a job's generations, from 0, the highest, to 9. */
  int priorityOf(JobExecution execution) {
    String run = execution.job.submission().run();
    long step = execution.job.submission().step();
    boolean hasEarlierStep =
        jobs.values().stream()
            .anyMatch(
                other ->
                    other.job.submission().run().equals(run)
                        && other.job.submission().step() < step);
    int rank = Math.max(0, Math.min(MAX_ROUTE_PRIORITY, execution.policy().priority()));
    return rank + (hasEarlierStep ? LATER_PRIORITY : AWAITED_PRIORITY);
  }

  /** Returns the parts of a run's texts that are not in the log and marks them as saved. */
  List<TextPart> takeUnsavedTexts(String run) {
    return jobs.values().stream()
        .filter(execution -> execution.job.submission().run().equals(run))
        .flatMap(execution -> execution.takeUnsaved().stream())
        .toList();
  }
}
