package org.passhaven.core.admission;

import java.util.Objects;

/** Decision on a request that asks for a slot at a service. */
public sealed interface AdmissionDecision {
  /** The request is sent now. */
  record Send() implements AdmissionDecision {}

  /**
   * The request waits; {@link ServiceAdmission#decideWaiting} returns it when it may be sent or is
   * rejected.
   */
  record Wait() implements AdmissionDecision {}

  /**
   * The request is rejected and has not run.
   *
   * @param reason why the request is rejected
   * @param retryAfterMillis time after which the caller is likely to find a free slot
   */
  record Reject(Reason reason, long retryAfterMillis) implements AdmissionDecision {
    public Reject {
      Objects.requireNonNull(reason, "reason");
    }
  }

  /** Reason for a rejection. */
  enum Reason {
    /** No server of the service accepts work. */
    NO_SERVER("no server"),
    /** The response is expected after the deadline. */
    TOO_LATE("too little time is left to wait"),
    /**
     * The expected wait would leave the caller no time for a retry, or is too long for a node that
     * is shutting down.
     */
    TOO_LONG("the queue is too long"),
    /** The queue is full, and this request is the first to be rejected from it. */
    QUEUE_FULL("the queue is full"),
    /** This node is shutting down. */
    STOPPING("the node is stopping");

    private final String text;

    Reason(String text) {
      this.text = text;
    }

    /** Returns a description for callers and logs. */
    public String text() {
      return text;
    }
  }
}
