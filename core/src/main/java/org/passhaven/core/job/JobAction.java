package org.passhaven.core.job;

import org.passhaven.core.backend.ServerEntry;
import org.passhaven.protocol.job.ItemResult;
import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.job.JobSubmission;
import org.passhaven.protocol.region.RegionRestriction;

/** Action that the {@link JobScheduler} requests; the node executes it. */
public sealed interface JobAction {
  /**
   * Start a generation, or continue one after an event.
   *
   * @param attempt id of the generation in all later notifications
   * @param lastEvent number of the event to continue after; zero to start from the beginning
   * @param priority priority from 0, the highest, to 9
   * @param restriction regions in which the text may be generated
   */
  record Start(
      long attempt,
      ServerEntry server,
      JobSubmission job,
      JobItem item,
      long lastEvent,
      int priority,
      RegionRestriction restriction)
      implements JobAction {}

  /** Close a generation's connection; its later events are ignored. */
  record Stop(long attempt, String reason) implements JobAction {}

  /** Send the request that scores an item's text. */
  record Score(JobSubmission job, JobItem item) implements JobAction {}

  /** Append the result of an item to the log. */
  record Finish(ItemResult result) implements JobAction {}
}
