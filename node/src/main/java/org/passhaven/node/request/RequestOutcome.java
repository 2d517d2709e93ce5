package org.passhaven.node.request;

import org.passhaven.spi.ServiceBackEnd.Response;

/** What a caller is told; exactly one of three. */
public sealed interface RequestOutcome {
  /** The whole answer to this request. */
  record Answered(Response response) implements RequestOutcome {}

  /**
   * The request was not run and will not be. {@code retryAfterMillis} says when to come back; 0 if
   * unknown.
   */
  record RefusedNotRun(String reason, long retryAfterMillis) implements RequestOutcome {}

  /** The request may have run. */
  record OutcomeUnknown(String reason) implements RequestOutcome {}
}
