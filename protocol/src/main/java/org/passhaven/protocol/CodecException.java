package org.passhaven.protocol;

/** Thrown when a message cannot be encoded or decoded. */
public final class CodecException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception; {@code cause} may be null. */
  public CodecException(String message, Throwable cause) {
    super(message, cause);
  }
}
