package org.passhaven.protocol;

/** Bytes that are no valid message. */
public final class CodecException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates the error. */
  public CodecException(String message, Throwable cause) {
    super(message, cause);
  }
}
