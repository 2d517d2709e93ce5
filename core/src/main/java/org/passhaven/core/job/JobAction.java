package org.passhaven.core.job;

import org.passhaven.core.backend.ServerEntry;
import org.passhaven.protocol.job.ItemResult;
import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.job.JobSubmission;

/** What the runner of jobs is to do. */
public sealed interface JobAction {
  /**
   * Begin a generation, or continue it after an event.
   *
   * @param attempt names the generation in all that is told of it
   * @param lastEvent event to continue after; zero from the beginning
   * @param priority 0 to 9, 0 first
   */
  record Start(
      long attempt,
      ServerEntry server,
      JobSubmission job,
      JobItem item,
      long lastEvent,
      int priority)
      implements JobAction {}

  /** Close a generation's connection; nothing more is told of it. */
  record Stop(long attempt, String why) implements JobAction {}

  /** Send the request that scores an item's text. */
  record Score(JobSubmission job, JobItem item) implements JobAction {}

  /** Append the result of an item. */
  record Finish(ItemResult result) implements JobAction {}
}
