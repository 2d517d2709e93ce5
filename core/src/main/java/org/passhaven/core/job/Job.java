package org.passhaven.core.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.job.JobRecord.ItemFinished;
import org.passhaven.protocol.job.JobSubmission;

/** State of one accepted job. Only {@link JobTable} modifies it. Not thread-safe. */
public final class Job {
  private final JobSubmission submission;
  private final long acceptedAtMillis;
  private final int itemCount;
  private final Map<String, JobItem> items = new LinkedHashMap<>();
  private final List<ItemFinished> results = new ArrayList<>();
  private final Map<String, Integer> positionByItem = new HashMap<>();
  private boolean isEnded;

  Job(JobSubmission submission, long acceptedAtMillis) {
    this.submission = submission.withoutItems();
    this.itemCount = submission.items().size();
    this.acceptedAtMillis = acceptedAtMillis;
    submission.items().forEach(item -> items.putIfAbsent(item.id(), item));
  }

  boolean addResult(ItemFinished result) {
    if (!items.containsKey(result.item()) || positionByItem.containsKey(result.item())) {
      return false;
    }
    positionByItem.put(result.item(), results.size());
    results.add(result);
    // Nobody asks for the request of a listed item, and the requests of some minutes fill the heap.
    items.computeIfPresent(result.item(), (id, item) -> item.withoutRequest());
    return true;
  }

  boolean markEnded() {
    boolean isFirstEnd = !isEnded;
    isEnded = true;
    return isFirstEnd;
  }

  /** Returns the id of the job. */
  public String id() {
    return submission.id();
  }

  /** Returns the submission without its items, which are in {@link #items}. */
  public JobSubmission submission() {
    return submission;
  }

  /** Returns the time at which this node read the acceptance, in monotonic milliseconds. */
  public long acceptedAtMillis() {
    return acceptedAtMillis;
  }

  /** Returns the results in order of their positions. */
  public List<ItemFinished> results() {
    return Collections.unmodifiableList(results);
  }

  /** Returns whether an item has a result. */
  public boolean hasResult(String item) {
    return positionByItem.containsKey(item);
  }

  /** Returns the number of items that were submitted. */
  public int itemCount() {
    return itemCount;
  }

  /** Returns the items in the order of the submission; those with a result have no request. */
  public Collection<JobItem> items() {
    return Collections.unmodifiableCollection(items.values());
  }

  /**
   * Returns an item of the job, without its request if it has a result; null if there is none with
   * that id.
   */
  public JobItem item(String id) {
    return items.get(id);
  }

  /** Returns whether the caller ended the job. */
  public boolean isEnded() {
    return isEnded;
  }

  /** Returns whether the job has not ended and has items without a result. */
  public boolean isOpen() {
    return !isEnded && openItemCount() > 0;
  }

  /** Returns the number of items without a result. */
  public int openItemCount() {
    return items.size() - positionByItem.size();
  }
}
