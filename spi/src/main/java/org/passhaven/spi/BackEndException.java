package org.passhaven.spi;

import java.util.Objects;

/** A generation ended without its whole text. */
public final class BackEndException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** What is known of the generation. */
  public enum Kind {
    /** The server is full or busy and did not run it. */
    REFUSED,
    /** Another server has the address, or it serves another version; not run. */
    MISDIRECTED,
    /** The server failed on it: a 500. */
    SERVER_ERROR,
    /** The server says that it can never be done: a 422. */
    IMPOSSIBLE,
    /** No connection came up; not run. */
    UNREACHABLE,
    /** The stream broke off, or what came is no answer to this request. */
    CUT,
    /** Its connection is silent, as others are; that says nothing of the server. */
    SILENT
  }

  private final Kind kind;

  /** Creates the error. */
  public BackEndException(Kind kind, String message) {
    super(message);
    this.kind = Objects.requireNonNull(kind, "kind");
  }

  /** What is known of the generation. */
  public Kind kind() {
    return kind;
  }

  /** The failure as this layer's error; an unknown one counts as a cut stream. */
  public static BackEndException from(Throwable failure) {
    return failure instanceof BackEndException known
        ? known
        : new BackEndException(Kind.CUT, String.valueOf(failure.getMessage()));
  }
}
