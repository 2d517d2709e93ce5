package org.passhaven.core.job;

import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.job.JobSubmission;

/** Holds items back that must not run now, whatever servers are free. */
@FunctionalInterface
public interface ItemGate {
  /** Whether a server may begin an item; to be asked right before it is sent, once. */
  boolean mayBegin(JobSubmission job, JobItem item);
}
