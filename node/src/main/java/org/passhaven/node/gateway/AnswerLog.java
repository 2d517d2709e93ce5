package org.passhaven.node.gateway;

import java.util.Objects;
import org.passhaven.core.route.Route;
import org.passhaven.node.LineLimit;
import org.passhaven.spi.AnswerOrigin;
import org.passhaven.spi.AnswerOrigin.Framing;
import org.passhaven.spi.BackEndService.Answer;
import org.passhaven.spi.BackEndService.Call;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Logs the answers of servers that are handed on, with what tells whose they are and whether they
 * are whole. Not thread-safe.
 */
final class AnswerLog {
  /** Limits the log volume while many requests are tried again; drops are counted. */
  static final int MAX_LINES_PER_SECOND = 20;

  private static final Logger LOG = LoggerFactory.getLogger(RequestForwarder.class);
  private final GatewayContext context;
  private final LineLimit limit = new LineLimit(MAX_LINES_PER_SECOND);

  /**
   * The attempts of one request at the time of its answer.
   *
   * @param answered the attempt whose answer is handed on
   * @param sent attempts sent
   * @param inProgress attempts that had no result yet
   */
  record Attempts(ForwardAttempts.Attempt answered, int sent, int inProgress) {}

  AnswerLog(GatewayContext context) {
    this.context = Objects.requireNonNull(context, "context");
  }

  /**
   * Logs and counts an answer. Its line is at DEBUG if the only attempt brought an answer whose
   * head tells all about it.
   */
  void onDelivered(Route route, Call call, Answer answer, Attempts attempts, long tookMillis) {
    AnswerOrigin origin = answer.origin();
    if (origin.framing() == Framing.CONNECTION_END) {
      context.metrics().answersUntilClose.increment();
    }
    boolean isRegular = attempts.sent() == 1 && origin.isRegular();
    if (isRegular) {
      if (LOG.isDebugEnabled()) {
        log(Level.DEBUG, route, call, answer, attempts, tookMillis);
      }
    } else if (limit.mayLog(context.nowMillis())) {
      log(Level.INFO, route, call, answer, attempts, tookMillis);
    } else {
      context.metrics().answerLinesDropped.increment();
    }
  }

  private void log(
      Level level, Route route, Call call, Answer answer, Attempts attempts, long tookMillis) {
    AnswerOrigin origin = answer.origin();
    LOG.atLevel(level)
        .addKeyValue("request", call.id())
        .addKeyValue("route", route.name())
        .addKeyValue("path", RequestLogger.pathOf(call))
        .addKeyValue("server", attempts.answered().server().incarnation())
        .addKeyValue("status", answer.status())
        .addKeyValue("bytes", answer.body().length)
        .addKeyValue("framing", origin.framing())
        .addKeyValue("attempt", attempts.answered().number())
        .addKeyValue("attempts", attempts.sent())
        .addKeyValue("inProgress", attempts.inProgress())
        .addKeyValue("hedge", attempts.answered().isHedge())
        .addKeyValue("connection", origin.connection())
        .addKeyValue("localPort", origin.localPort())
        .addKeyValue("position", origin.position())
        .addKeyValue("secondAnswers", origin.secondAnswers())
        .addKeyValue("answerWithoutId", origin.hadAnswerWithoutId())
        .addKeyValue("connectionEnded", origin.connectionEnded())
        .addKeyValue("attemptMillis", context.nowMillis() - attempts.answered().sentAtMillis())
        .addKeyValue("afterMillis", tookMillis)
        .log("request: answered");
  }
}
