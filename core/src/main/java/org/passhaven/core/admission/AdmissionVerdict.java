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
  record Reject(Reason reason, long retryAfterMillis) implements AdmissionVerdict {
    public Reject {
      Objects.requireNonNull(reason, "reason");
    }
  }

  /** Why a request is rejected. */
  enum Reason {
    /** No server of the service takes work. */
    NO_SERVER("no server"),
    /** The answer would come after the deadline. */
    TOO_LATE("too little time is left to wait"),
    /** The wait would take the time that the caller needs to come back. */
    TOO_LONG("the queue is too long"),
    /** Others are entitled to the room that there is for waiting requests. */
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
