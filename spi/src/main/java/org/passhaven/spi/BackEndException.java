package org.passhaven.spi;

import java.util.Objects;

/** Thrown when a generation ended before its text was complete. */
public final class BackEndException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Cause of the failure. */
  public enum Kind {
    /** The server is at capacity and did not run the request. */
    REFUSED,
    /** This node did not send the request, since the server must not receive it now. */
    HELD_BACK,
    /**
     * Another server uses the address, or the server has another version; the request did not run.
     */
    MISDIRECTED,
    /** The server failed while running the request, with status 500. */
    SERVER_ERROR,
    /** The server reported that the request can never succeed, with status 422. */
    IMPOSSIBLE,
    /** No connection could be established; the request did not run. */
    UNREACHABLE,
    /** The stream was interrupted or is not a valid response to the request. */
    CUT,
    /** Several connections went silent at once, so a server failure is not the likely cause. */
    SILENT
  }

  private final Kind kind;

  /** Creates the exception. */
  public BackEndException(Kind kind, String message) {
    super(message);
    this.kind = Objects.requireNonNull(kind, "kind");
  }

  /** Returns the cause of the failure. */
  public Kind kind() {
    return kind;
  }

  /** Converts a failure to this exception; an unknown failure counts as an interrupted stream. */
  public static BackEndException from(Throwable failure) {
    return failure instanceof BackEndException known
        ? known
        : new BackEndException(Kind.CUT, String.valueOf(failure.getMessage()));
  }
}
