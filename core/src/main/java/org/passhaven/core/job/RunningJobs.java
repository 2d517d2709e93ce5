package org.passhaven.core.job;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.passhaven.protocol.job.TextRecord.TextPart;

/** The jobs that this node runs, in the order in which it took them. Not thread-safe. */
final class RunningJobs {
  private static final int AWAITED_PRIORITY = 2;
  private static final int LATER_PRIORITY = 6;
  private static final int MAX_ROUTE_PRIORITY = 3;
  private final Map<String, JobExecution> jobs = new LinkedHashMap<>();

  /** A job; null if it does not run here. */
  JobExecution get(String job) {
    return jobs.get(job);
  }

  /** An item of a job; empty if its job does not run here. */
  Optional<ItemExecution> item(String job, String item) {
    return Optional.ofNullable(jobs.get(job)).map(work -> work.items.get(item));
  }

  void put(JobExecution work) {
    jobs.put(work.job.id(), work);
  }

  /** Takes a job out; null if it does not run here. */
  JobExecution remove(String job) {
    return jobs.remove(job);
  }

  boolean isEmpty() {
    return jobs.isEmpty();
  }

  List<String> ids() {
    return List.copyOf(jobs.keySet());
  }

  /** All items. */
  Stream<ItemExecution> items() {
    return jobs.values().stream().map(work -> work.items.values()).flatMap(Collection::stream);
  }

  /** Jobs that a trainer waits for first: the lowest step of each run before later ones. */
  List<JobExecution> byUrgency() {
    return jobs.values().stream()
        .sorted(Comparator.comparingLong((JobExecution work) -> work.job.submission().step()))
        .toList();
  }

  /** Priority of a job's generations, 0 to 9, 0 first. */
  int priorityOf(JobExecution work) {
    String run = work.job.submission().run();
    long step = work.job.submission().step();
    boolean earlier =
        jobs.values().stream()
            .anyMatch(
                other ->
                    other.job.submission().run().equals(run)
                        && other.job.submission().step() < step);
    int rank = Math.max(0, Math.min(MAX_ROUTE_PRIORITY, work.policy.priority()));
    return rank + (earlier ? LATER_PRIORITY : AWAITED_PRIORITY);
  }

  /** What the log lacks of a run's texts; counts as being there from now on. */
  List<TextPart> takeUnsavedTexts(String run) {
    return jobs.values().stream()
        .filter(work -> work.job.submission().run().equals(run))
        .flatMap(work -> work.takeUnsaved().stream())
        .toList();
  }
}
