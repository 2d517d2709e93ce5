package org.passhaven.node.gateway;

import org.passhaven.spi.BackEndService;

/** What became of a request that was brought to servers. */
public sealed interface ForwardOutcome {
  /** Answers of 500 and the like on the way. */
  int serverErrors();

  /** A server's whole answer. */
  record Answered(BackEndService.Answer answer, int serverErrors) implements ForwardOutcome {}

  /** No server ran it, and none will. */
  record NotRun(String reason, long retryAfterMillis) implements ForwardOutcome {
    @Override
    public int serverErrors() {
      return 0;
    }
  }

  /** A server may have run it. */
  record Unknown(String reason, boolean timedOut, int serverErrors) implements ForwardOutcome {}
}
