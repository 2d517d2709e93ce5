package org.passhaven.core.admission;

import java.util.Objects;

/** What becomes of a request that asks for a place at a service. */
public sealed interface AdmissionVerdict {
  /** It is sent now. */
  record Send() implements AdmissionVerdict {}

  /** It waits; the queue names it when it may be sent, or when it no longer can be in time. */
  record Wait() implements AdmissionVerdict {}

  /**
   * It has not run and can't be served in time.
   *
   * @param retryAfterMillis time after which its caller is likely to find a place
   */
  record Reject(String reason, long retryAfterMillis) implements AdmissionVerdict {
    public Reject {
      Objects.requireNonNull(reason, "reason");
    }
  }
}
