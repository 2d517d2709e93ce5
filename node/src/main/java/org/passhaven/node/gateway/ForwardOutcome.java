package org.passhaven.node.gateway;

import org.passhaven.spi.BackEndService;

/** The final outcome of a forwarded request. */
public sealed interface ForwardOutcome {
  /** Returns the number of attempts that servers answered with status 500. */
  int serverErrors();

  /** A server answered, and its complete answer is returned to the caller. */
  record Answered(BackEndService.Answer answer, int serverErrors) implements ForwardOutcome {}

  /** No server ran the request, and none will. */
  record NotRun(String reason, long retryAfterMillis) implements ForwardOutcome {
    @Override
    public int serverErrors() {
      return 0;
    }
  }

  /** A server may have run the request. */
  record Unknown(String reason, boolean timedOut, int serverErrors) implements ForwardOutcome {}
}
