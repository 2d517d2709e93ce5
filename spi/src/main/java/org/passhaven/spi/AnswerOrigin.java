package org.passhaven.spi;

import java.util.Objects;

/**
 * Where an answer came from and what marked its end. Only for the log: no decision depends on it.
 *
 * @param connection number of the connection within the life of the process, from 1; zero if the
 *     answer came over none
 * @param localPort port of the connection at this node; zero if unknown
 * @param position position of the request among those sent over the connection, from 1
 * @param secondAnswers answers that the server had given a second time over the connection
 * @param hadAnswerWithoutId whether an answer without an id had come over the connection
 * @param framing what marks the end of the body
 * @param connectionEnded whether the connection had ended when the answer was complete
 */
public record AnswerOrigin(
    long connection,
    int localPort,
    int position,
    int secondAnswers,
    boolean hadAnswerWithoutId,
    Framing framing,
    boolean connectionEnded) {
  /** Origin of an answer that came over no connection, such as that of a simulated server. */
  public static final AnswerOrigin NONE =
      new AnswerOrigin(0, 0, 0, 0, false, Framing.LENGTH, false);

  /** What marks the end of a body. */
  public enum Framing {
    /** Its declared length. */
    LENGTH,
    /** Its last chunk. */
    CHUNKED,
    /** The end of the connection, which a server that fails brings about too. */
    CONNECTION_END,
    /** The end of the head: the answer has no body. */
    NO_BODY
  }

  public AnswerOrigin {
    Objects.requireNonNull(framing, "framing");
  }

  /**
   * Returns whether the head of the answer tells where it ends, and nothing surplus had come over
   * its connection.
   */
  public boolean isRegular() {
    return framing != Framing.CONNECTION_END && secondAnswers == 0 && !hadAnswerWithoutId;
  }

  /** Returns a copy for an answer whose connection has ended. */
  public AnswerOrigin withConnectionEnded() {
    return new AnswerOrigin(
        connection, localPort, position, secondAnswers, hadAnswerWithoutId, framing, true);
  }
}
