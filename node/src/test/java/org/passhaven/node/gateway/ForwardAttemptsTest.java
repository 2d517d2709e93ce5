package org.passhaven.node.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerHealth;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.forward.ForwardPlan;
import org.passhaven.core.route.Route;
import org.passhaven.core.route.ServiceShare;
import org.passhaven.node.ManualTimers;
import org.passhaven.node.MemoryLog;
import org.passhaven.spi.BackEndService.Answer;
import org.passhaven.spi.BackEndService.Call;
import org.passhaven.spi.DutyService;
import org.passhaven.spi.PlatformException;

/** Guards against attempts that fail while they are being sent and are left in progress. */
class ForwardAttemptsTest {
  private static final long DEADLINE_MILLIS = 1_500;
  private static final Route ROUTE =
      new Route(
          "r",
          "h",
          "/",
          List.of(new ServiceShare("s", 1)),
          Route.Kind.REPEATABLE,
          DEADLINE_MILLIS,
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
  private final List<PlatformException.Kind> failures = new ArrayList<>();
  private final List<ServerIncarnation> hedgeDue = new ArrayList<>();
  private final ServerHealth health = new ServerHealth();
  private final ServersAtCapacity servers = new ServersAtCapacity();
  private final ForwardAttempts attempts =
      new ForwardAttempts(
          context(),
          health,
          new Call("id", "", "GET", "/", "h", List.of(), new byte[0], DEADLINE_MILLIS),
          new ForwardPlan(ROUTE, DEADLINE_MILLIS),
          new RecordingListener());

  private static final class ServersAtCapacity extends GatewayFixture.SilentServers {
    boolean isAnswering;
    boolean isAnsweringWithoutEnd;

    @Override
    public boolean isAnsweringWithoutEnd(Target target) {
      return isAnsweringWithoutEnd;
    }

    @Override
    public Uni<Answer> call(Target target, Call call) {
      if (isAnswering) {
        return Uni.createFrom().nothing();
      }
      return Uni.createFrom()
          .failure(new PlatformException(PlatformException.Kind.HELD_BACK, "no room"));
    }
  }

  private final class RecordingListener implements ForwardAttempts.Listener {
    @Override
    public void onAnswer(ForwardAttempts.Attempt attempt, Answer answer) {
      throw new IllegalStateException("no server answers in this test");
    }

    @Override
    public void onFailure(ServerEntry server, PlatformException failure, long sentAtMillis) {
      failures.add(failure.kind());
    }

    @Override
    public void onHedgeDue(ServerEntry server) {
      hedgeDue.add(server.incarnation());
    }
  }

  private GatewayContext context() {
    return new GatewayContext(
        GatewayFixture.settings(1, 262_144, 2_097_152),
        1,
        timers,
        bound -> 0,
        new MemoryLog(timers),
        new GatewayFixture.SilentTables(),
        servers,
        DutyService.NONE,
        new GatewayFixture.EmptyDocuments(),
        new GatewayMetrics(new SimpleMeterRegistry()));
  }

  @Test
  void anAttemptThatFailsImmediatelyIsNotInProgressAndIsNeverHedged() {
    attempts.send(SERVER, false);
    assertThat(failures, contains(PlatformException.Kind.HELD_BACK));
    assertThat(attempts.isInProgress(), equalTo(false));
    timers.advance(DEADLINE_MILLIS);
    assertThat(hedgeDue, empty());
  }

  /** Guards against a server without end that is never avoided since other attempts win. */
  @Test
  void theServerOfACancelledAttemptIsAvoidedIfItAnswersWithoutEnd() {
    servers.isAnswering = true;
    servers.isAnsweringWithoutEnd = true;
    attempts.send(SERVER, false);
    attempts.cancel();
    assertThat(health.isAvoided(SERVER.incarnation(), timers.nowMillis()), is(true));
  }

  /** Guards against a sound server that is avoided since another attempt was faster. */
  @Test
  void theServerOfACancelledAttemptIsNotAvoidedOtherwise() {
    servers.isAnswering = true;
    attempts.send(SERVER, false);
    attempts.cancel();
    assertThat(health.isAvoided(SERVER.incarnation(), timers.nowMillis()), is(false));
  }
}
