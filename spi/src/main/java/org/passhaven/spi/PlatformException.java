package org.passhaven.spi;

import java.util.Objects;

/** Thrown when a request to an external service failed, with what is known about its effect. */
public final class PlatformException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** What is known about the effect of the request. */
  public enum Kind {
    /**
     * No byte of the request reached the server, or the server reported that it did not run the
     * request.
     */
    NOT_RUN,
    /** The request may have taken effect. */
    OUTCOME_UNKNOWN,
    /**
     * This node did not send the request, because too much is in flight to the server. Does not
     * indicate a server failure.
     */
    HELD_BACK,
    /**
     * The server responded, but this node had no memory for the response. Does not indicate a
     * server failure.
     */
    ANSWER_DROPPED,
    /**
     * The server's response exceeds, or declares to exceed, what this node can ever hold. It may be
     * a response without end of a faulty server, so another server may respond properly.
     */
    ANSWER_TOO_LARGE
  }

  private final Kind kind;

  /** Creates the exception. */
  public PlatformException(Kind kind, String message, Throwable cause) {
    super(message, cause);
    this.kind = Objects.requireNonNull(kind, "kind");
  }

  /** Creates the exception without a cause. */
  public PlatformException(Kind kind, String message) {
    this(kind, message, null);
  }

  /** Returns what is known about the effect of the request. */
  public Kind kind() {
    return kind;
  }

  /**
   * Converts a failure to this exception; an unknown failure counts as {@link
   * Kind#OUTCOME_UNKNOWN}.
   */
  public static PlatformException from(Throwable failure) {
    return failure instanceof PlatformException known
        ? known
        : new PlatformException(
            Kind.OUTCOME_UNKNOWN, String.valueOf(failure.getMessage()), failure);
  }
}
