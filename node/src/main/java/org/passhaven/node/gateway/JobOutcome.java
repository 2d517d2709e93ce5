package org.passhaven.node.gateway;

import java.util.List;
import org.passhaven.protocol.job.ItemResult;

/** What callers of batch jobs are told. */
public sealed interface JobOutcome {
  /** The job, or its end, is durable. */
  record Done() implements JobOutcome {}

  /** Nothing was done and nothing will be. */
  record Refused(String reason, long retryAfterMillis) implements JobOutcome {}

  /** It may have been done. */
  record Unknown(String reason) implements JobOutcome {}

  /** There is no such job or item. */
  record NotFound() implements JobOutcome {}

  /** Another job has the id. */
  record Taken() implements JobOutcome {}

  /**
   * Results from a position on.
   *
   * @param total number of the job's items
   * @param next position after the last result given
   */
  record Results(int total, List<ItemResult> results, int next) implements JobOutcome {
    public Results {
      results = List.copyOf(results);
    }
  }

  /** Body of an item. */
  record Body(byte[] body) implements JobOutcome {}
}
