package org.passhaven.core.job;

import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.job.JobSubmission;

/** Admission check that can hold back items although servers are free. */
@FunctionalInterface
public interface ItemGate {
  /** Returns whether an item may be sent to a server now; called once, right before sending. */
  boolean mayBegin(JobSubmission job, JobItem item);
}
