package org.passhaven.node.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import ch.qos.logback.classic.Level;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.route.Route;
import org.passhaven.core.route.ServiceShare;
import org.passhaven.node.ManualTimers;
import org.passhaven.node.MemoryLog;
import org.passhaven.spi.AnswerOrigin;
import org.passhaven.spi.AnswerOrigin.Framing;
import org.passhaven.spi.BackEndService.Answer;
import org.passhaven.spi.BackEndService.Call;
import org.passhaven.spi.DutyService;

/** Guards against answers whose origin can't be told afterwards, and against a log without end. */
class AnswerLogTest {
  private static final String LINE = "request: answered";
  private static final long TOOK_MILLIS = 40;
  private static final AnswerOrigin REGULAR =
      new AnswerOrigin(7, 40_001, 3, 0, false, Framing.LENGTH, false);
  private static final Route ROUTE =
      new Route(
          "r",
          "h",
          "/",
          List.of(new ServiceShare("s", 1)),
          Route.Kind.REPEATABLE,
          1_500,
          250,
          4,
          false,
          false,
          0,
          0,
          true);
  private static final ServerEntry SERVER =
      new ServerEntry(ServerIncarnation.of("a"), "s", "a:1", "z", 6, true, Map.of());
  private final ManualTimers timers = new ManualTimers();
  private final GatewayMetrics metrics = new GatewayMetrics(new SimpleMeterRegistry());
  private final AnswerLog log =
      new AnswerLog(
          new GatewayContext(
              GatewayFixture.settings(1, 262_144, 2_097_152),
              1,
              timers,
              bound -> 0,
              new MemoryLog(timers),
              new GatewayFixture.SilentTables(),
              new GatewayFixture.SilentServers(),
              DutyService.NONE,
              new GatewayFixture.EmptyDocuments(),
              metrics));

  private void deliver(AnswerOrigin origin, int attempt, int attempts) {
    Call call = new Call("id", "", "GET", "/p?key=1", "h", List.of(), new byte[0], 1_500);
    Answer answer = new Answer(200, false, "signed", List.of(), new byte[12], origin);
    ForwardAttempts.Attempt answered =
        new ForwardAttempts.Attempt(SERVER, attempt, attempt > 1, timers.nowMillis());
    timers.advance(1);
    log.onDelivered(
        ROUTE,
        call,
        answer,
        new AnswerLog.Attempts(answered, attempts, attempts - attempt),
        TOOK_MILLIS);
  }

  private List<Level> levelsOf(AnswerOrigin origin, int attempts) {
    try (CapturedLog lines = CapturedLog.of(RequestForwarder.class, Level.DEBUG)) {
      deliver(origin, 1, attempts);
      return lines.levels(LINE);
    }
  }

  @Test
  void aLineTellsWhereAnAnswerCameFromAndHowItsEndWasKnown() {
    try (CapturedLog lines = CapturedLog.of(RequestForwarder.class, Level.INFO)) {
      deliver(new AnswerOrigin(7, 40_001, 3, 2, true, Framing.CONNECTION_END, true), 2, 3);
      Map<String, String> expected = new HashMap<>();
      expected.put("request", "id");
      expected.put("route", "r");
      expected.put("path", "/p");
      expected.put("server", SERVER.incarnation().toString());
      expected.put("status", "200");
      expected.put("bytes", "12");
      expected.put("framing", "CONNECTION_END");
      expected.put("attempt", "2");
      expected.put("attempts", "3");
      expected.put("inProgress", "1");
      expected.put("hedge", "true");
      expected.put("connection", "7");
      expected.put("localPort", "40001");
      expected.put("position", "3");
      expected.put("secondAnswers", "2");
      expected.put("answerWithoutId", "true");
      expected.put("connectionEnded", "true");
      expected.put("attemptMillis", "1");
      expected.put("afterMillis", Long.toString(TOOK_MILLIS));
      assertThat(lines.lines(LINE), contains(expected));
    }
  }

  @Test
  void aRegularAnswerToTheOnlyAttemptIsLoggedForDebuggingOnly() {
    assertThat(levelsOf(REGULAR, 1), contains(Level.DEBUG));
    assertThat(levelsOf(AnswerOrigin.NONE, 1), contains(Level.DEBUG));
    try (CapturedLog lines = CapturedLog.of(RequestForwarder.class, Level.INFO)) {
      deliver(REGULAR, 1, 1);
      assertThat(lines.lines(LINE), empty());
    }
  }

  @Test
  void anAnswerThatMightBeAnotherOrBrokenOffIsLogged() {
    assertThat("several attempts", levelsOf(REGULAR, 2), contains(Level.INFO));
    assertThat(
        "no length",
        levelsOf(new AnswerOrigin(7, 1, 1, 0, false, Framing.CONNECTION_END, true), 1),
        contains(Level.INFO));
    assertThat(
        "a second answer before it",
        levelsOf(new AnswerOrigin(7, 1, 2, 1, false, Framing.LENGTH, false), 1),
        contains(Level.INFO));
    assertThat(
        "an answer without an id before it",
        levelsOf(new AnswerOrigin(7, 1, 2, 0, true, Framing.CHUNKED, false), 1),
        contains(Level.INFO));
  }

  @Test
  void onlyAnswersThatEndWithTheirConnectionAreCountedAsSuch() {
    deliver(REGULAR, 1, 1);
    deliver(REGULAR, 2, 2);
    assertThat(metrics.answersUntilClose.count(), equalTo(0.0));
    deliver(new AnswerOrigin(7, 1, 1, 0, false, Framing.CONNECTION_END, true), 1, 1);
    assertThat(metrics.answersUntilClose.count(), equalTo(1.0));
  }

  @Test
  void theLinesOfASecondAreLimitedAndThoseLeftOutAreCounted() {
    int dropped = 5;
    try (CapturedLog lines = CapturedLog.of(RequestForwarder.class, Level.INFO)) {
      for (int i = 0; i < AnswerLog.MAX_LINES_PER_SECOND + dropped; i++) {
        deliver(REGULAR, 2, 2);
      }
      assertThat(lines.lines(LINE), hasSize(AnswerLog.MAX_LINES_PER_SECOND));
      assertThat(metrics.answerLinesDropped.count(), equalTo((double) dropped));
      timers.advance(1_000);
      deliver(REGULAR, 2, 2);
      assertThat(lines.lines(LINE), hasSize(AnswerLog.MAX_LINES_PER_SECOND + 1));
    }
  }
}
