package org.passhaven.node.request;

import org.passhaven.spi.ServiceBackEnd.Response;

/** The outcome of a caller's request: a response, a refusal, or unknown. */
public sealed interface RequestOutcome {
  /** A server answered the request; {@code response} is complete. */
  record Answered(Response response) implements RequestOutcome {}

  /**
   * The request was not run and will not be.
   *
   * @param retryAfterMillis time after which the caller may retry; 0 if unknown
   */
  record RefusedNotRun(String reason, long retryAfterMillis) implements RequestOutcome {}

  /** The request may or may not have run. */
  record OutcomeUnknown(String reason) implements RequestOutcome {}
}
