package org.passhaven.spi;

import java.util.Objects;

/**
 * A failure in reaching something outside, with what is known of whether the request took effect.
 */
public final class PlatformException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** What is known of the request's effect. */
  public enum Kind {
    /** No byte of the request reached the other side, or it said that it did not run it. */
    NOT_RUN,
    /** The request may have taken effect. */
    OUTCOME_UNKNOWN,
    /** This node did not send it, since too much is under way there: no sign against a server. */
    HELD_BACK,
    /** It was answered, and this node had no room for the answer: no sign against a server. */
    ANSWER_DROPPED
  }

  private final Kind kind;

  /** Creates the error. */
  public PlatformException(Kind kind, String message, Throwable cause) {
    super(message, cause);
    this.kind = Objects.requireNonNull(kind, "kind");
  }

  /** Creates the error without a cause. */
  public PlatformException(Kind kind, String message) {
    this(kind, message, null);
  }

  /** What is known of the request's effect. */
  public Kind kind() {
    return kind;
  }

  /** The failure as this layer's error; one that it does not know counts as outcome unknown. */
  public static PlatformException from(Throwable failure) {
    return failure instanceof PlatformException known
        ? known
        : new PlatformException(
            Kind.OUTCOME_UNKNOWN, String.valueOf(failure.getMessage()), failure);
  }
}
