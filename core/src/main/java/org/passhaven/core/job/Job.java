package org.passhaven.core.job;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.job.JobRecord.ItemFinished;
import org.passhaven.protocol.job.JobSubmission;

/** State of one accepted job: a part of the fold. Changed by {@link JobTable} only. */
public final class Job {
  private final JobSubmission submission;
  private final long acceptedAtMillis;
  private final Map<String, JobItem> items = new HashMap<>();
  private final List<ItemFinished> results = new ArrayList<>();
  private final Map<String, Integer> positionByItem = new HashMap<>();
  private boolean ended;

  Job(JobSubmission submission, long acceptedAtMillis) {
    this.submission = Objects.requireNonNull(submission, "submission");
    this.acceptedAtMillis = acceptedAtMillis;
    submission.items().forEach(item -> items.putIfAbsent(item.id(), item));
  }

  boolean addResult(ItemFinished result) {
    if (!items.containsKey(result.item()) || positionByItem.containsKey(result.item())) {
      return false;
    }
    positionByItem.put(result.item(), results.size());
    results.add(result);
    return true;
  }

  boolean markEnded() {
    boolean first = !ended;
    ended = true;
    return first;
  }

  /** Name of the job. */
  public String id() {
    return submission.id();
  }

  /** What was handed in. */
  public JobSubmission submission() {
    return submission;
  }

  /** When this node read the acceptance, in its monotonic milliseconds. */
  public long acceptedAtMillis() {
    return acceptedAtMillis;
  }

  /** Results in the order of their positions. */
  public List<ItemFinished> results() {
    return Collections.unmodifiableList(results);
  }

  /** Whether an item has a result. */
  public boolean hasResult(String item) {
    return positionByItem.containsKey(item);
  }

  /** An item of the job; null if there is none of that name. */
  public JobItem item(String id) {
    return items.get(id);
  }

  /** Whether the caller ended the job. */
  public boolean ended() {
    return ended;
  }

  /** Whether items are still to be run. */
  public boolean isOpen() {
    return !ended && openItems() > 0;
  }

  /** Number of items that have no result. */
  public int openItems() {
    return items.size() - positionByItem.size();
  }
}
