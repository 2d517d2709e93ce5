package org.passhaven.core.admission;

import java.util.Objects;

/** Decision on a request that asks for a place at a service. */
public sealed interface AdmissionVerdict {
  /** It is sent now. */
  record Send() implements AdmissionVerdict {}

  /** It waits; {@link ServiceAdmission#next} returns it when it may be sent or is rejected. */
  record Wait() implements AdmissionVerdict {}

  /**
   * It has not run and can't be served in time.
   *
   * @param retryAfterMillis time after which its caller is likely to find a place
   */
  record Reject(Reason reason, long retryAfterMillis) implements AdmissionVerdict {
    public Reject {
      Objects.requireNonNull(reason, "reason");
    }
  }

  /** Why a request is rejected. */
  enum Reason {
    /** No server of the service takes work. */
    NO_SERVER("no server"),
    /** The answer is expected after the deadline. */
    TOO_LATE("too little time is left to wait"),
    /** The expected wait would leave the caller no time for a retry. */
    TOO_LONG("the queue is too long"),
    /** The queue is full, and other requests go before this one. */
    QUEUE_FULL("the queue is full"),
    /** This node ends. */
    STOPPING("the node is stopping");

    private final String text;

    Reason(String text) {
      this.text = text;
    }

    /** The reason in words, for callers and logs. */
    public String text() {
      return text;
    }
  }
}
