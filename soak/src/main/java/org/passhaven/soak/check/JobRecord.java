package org.passhaven.soak.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.passhaven.platform.standin.history.ItemPlan;
import org.passhaven.platform.standin.history.JobPlan;

/** What is known of one job from the outside, over the whole history. */
final class JobRecord {
  /** A time that never comes. */
  static final long NEVER = Long.MAX_VALUE;

  private final JobPlan plan;
  private final long leastVersion;
  private final Map<String, ItemPlan> items = new HashMap<>();
  private final Set<Integer> refusedAttempts = new HashSet<>();
  private final Set<Integer> sentAttempts = new HashSet<>();
  long firstSentMillis = NEVER;
  long acceptedMillis = NEVER;
  long endAskedMillis = NEVER;
  long endAcknowledgedMillis = NEVER;

  /**
   * A job that is not sent yet.
   *
   * @param leastVersion the oldest version that may make its texts
   */
  JobRecord(JobPlan plan, long leastVersion) {
    this.plan = plan;
    this.leastVersion = leastVersion;
    plan.items().forEach(item -> items.put(item.id(), item));
  }

  JobPlan plan() {
    return plan;
  }

  long leastVersion() {
    return leastVersion;
  }

  Map<String, ItemPlan> items() {
    return items;
  }

  void sent(int attempt, long atMillis) {
    sentAttempts.add(attempt);
    firstSentMillis = Math.min(firstSentMillis, atMillis);
  }

  void refused(int attempt) {
    refusedAttempts.add(attempt);
  }

  boolean isAccepted() {
    return acceptedMillis != NEVER;
  }

  /** Whether each attempt was answered with the promise that it does not make the job run. */
  boolean isRefused() {
    return !sentAttempts.isEmpty() && !isAccepted() && refusedAttempts.containsAll(sentAttempts);
  }

  /** Whether it must still be readable at that time. */
  boolean isPromised(long atMillis, Bounds bounds) {
    boolean isOpen = endAskedMillis > atMillis;
    return isAccepted() && (isOpen || atMillis < firstSentMillis + bounds.statusMillis());
  }
}
