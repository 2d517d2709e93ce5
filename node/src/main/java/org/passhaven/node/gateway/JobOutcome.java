package org.passhaven.node.gateway;

import java.util.List;
import org.passhaven.protocol.job.ItemResult;

/** Outcome of a batch job operation, as reported to the caller. */
public sealed interface JobOutcome {
  /** The submission or the end of the job is durable. */
  record Done() implements JobOutcome {}

  /** The operation was not carried out and will not be; it may be retried after the delay. */
  record Refused(String reason, long retryAfterMillis) implements JobOutcome {}

  /** The operation may have been carried out. */
  record Unknown(String reason) implements JobOutcome {}

  /** The job or item does not exist. */
  record NotFound() implements JobOutcome {}

  /** The id belongs to another tenant's job. */
  record IdInUse() implements JobOutcome {}

  /**
   * Results of a job from a position on.
   *
   * @param total number of items in the job
   * @param next position after the last returned result
   */
  record Results(int total, List<ItemResult> results, int next) implements JobOutcome {
    public Results {
      results = List.copyOf(results);
    }
  }

  /** Request body of an item. */
  record Body(byte[] body) implements JobOutcome {}
}
