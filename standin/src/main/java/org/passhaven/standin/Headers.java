package org.passhaven.standin;

/** HTTP headers that passhaven and back ends share. */
public final class Headers {
  /** Set by a back end on an error answer to say that it did not run the request. */
  public static final String NOT_RUN = "Passhaven-Not-Run";

  /** Names the caller whose limits apply. */
  public static final String CALLER = "Passhaven-Caller";

  /** The caller's deadline in milliseconds from when it sent the request. */
  public static final String DEADLINE = "Passhaven-Deadline-Millis";

  /** Key under which a non-repeatable request runs at most once. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  private Headers() {}
}
