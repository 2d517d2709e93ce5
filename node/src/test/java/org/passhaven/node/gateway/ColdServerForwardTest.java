package org.passhaven.node.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.startsWith;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.route.RequestLimits;
import org.passhaven.core.route.Route;
import org.passhaven.core.route.RouteTable;
import org.passhaven.core.route.ServiceShare;
import org.passhaven.core.service.ColdStart;
import org.passhaven.core.service.ServiceSpec;
import org.passhaven.core.tenant.TenantTable;
import org.passhaven.node.ClockJumpDetectingTimers;
import org.passhaven.node.ManualTimers;
import org.passhaven.node.MemoryLog;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.member.MemberBeat;
import org.passhaven.spi.BackEndService.Answer;
import org.passhaven.spi.BackEndService.Call;
import org.passhaven.spi.DutyService;
import org.passhaven.spi.TableService.Entry;

/** Guards against requests beyond a cold server's limit, and against needless refusals there. */
class ColdServerForwardTest {
  /** At ten requests a second, of which four fifths are shared out, all to this node. */
  private static final long INTERVAL_MILLIS = 125;

  private static final long OBJECTIVE_MILLIS = 400;
  private static final long DEADLINE_MILLIS = 2_000;
  private static final Route ROUTE =
      new Route(
          "r",
          "h",
          "/",
          List.of(new ServiceShare("app", 1)),
          Route.Kind.REPEATABLE,
          DEADLINE_MILLIS,
          OBJECTIVE_MILLIS,
          2,
          false,
          false,
          0,
          0,
          true);
  private final ManualTimers timers = new ManualTimers();
  private final MemoryTables tables = new MemoryTables(timers);
  private final List<String> sent = new ArrayList<>();
  private final List<ForwardOutcome> outcomes = new ArrayList<>();
  private final List<MemberBeat> nodes =
      List.of(new MemberBeat("n", "n:1", "z", 1, true, 1, 500, 0, 0));
  private PlatformDirectory directory;
  private RequestForwarder forwarder;

  private final class Servers extends GatewayFixture.SilentServers {
    @Override
    public Uni<Answer> call(Target target, Call call) {
      sent.add(target.instance());
      return Uni.createFrom().item(new Answer(200, false, "signed", List.of(), new byte[0]));
    }
  }

  private static final class Documents extends GatewayFixture.EmptyDocuments {
    @Override
    public boolean isConfiguration(String key) {
      return true;
    }

    @Override
    public RouteTable parseConfiguration(byte[] document) {
      ServiceSpec spec =
          new ServiceSpec("app", Optional.of(new ColdStart(5_000, 10)), Optional.empty());
      return new RouteTable(
          1, List.of(ROUTE), RequestLimits.DEFAULT, TenantTable.NONE, Map.of("app", spec));
    }

    @Override
    public ServerEntry parseServer(String key, byte[] document) {
      return Codec.decode(document, ServerEntry.class);
    }
  }

  @BeforeEach
  void start() {
    GatewayContext unchecked =
        new GatewayContext(
            GatewayFixture.settings(1, 262_144, 2_097_152),
            1,
            new ClockJumpDetectingTimers(timers),
            bound -> 0,
            new MemoryLog(timers),
            tables.asService(),
            new Servers(),
            DutyService.NONE,
            new Documents(),
            new GatewayMetrics(new SimpleMeterRegistry()));
    tables.add("operator", List.of(new Entry("c", new byte[0])));
    directory = new PlatformDirectory(unchecked, () -> 0);
    GatewayContext context =
        unchecked.withBackEnds(
            new EligibleBackEnds(
                unchecked.backEnds(),
                directory.eligibility(),
                directory.servers()::getById,
                unchecked::nowMillis,
                unchecked.metrics()));
    directory.start();
    CrashTracker crashes = new CrashTracker(context, directory);
    crashes.start();
    forwarder =
        new RequestForwarder(context, directory, () -> nodes, crashes, (tenant, sentAt) -> {});
    directory.coldStarts().trustSharesWhile(() -> true);
    timers.every(500, this::readHeartbeats);
    timers.advance(3_000);
  }

  private void readHeartbeats() {
    directory.coldStartShares().onHeartbeats(nodes, timers.nowMillis());
  }

  private void list(String id, long coldMillis) {
    ServerEntry entry =
        new ServerEntry(
            ServerIncarnation.of(id), "app", id + ":1", "z", 6, true, Map.of(), coldMillis);
    tables.add("servers", List.of(new Entry(id, Codec.encode(entry))));
    timers.advance(1);
  }

  private void submit(int requests) {
    submit(requests, DEADLINE_MILLIS);
  }

  private void submit(int requests, long deadlineMillis) {
    for (int i = 0; i < requests; i++) {
      Call call = new Call("id", "", "GET", "/p", "h", List.of(), new byte[0], deadlineMillis);
      forwarder.forward(ROUTE, call).subscribe().with(outcomes::add);
    }
    timers.advance(1);
  }

  @Test
  void requestsGoToWarmServersWhileOneIsGood() {
    for (int i = 0; i < 5; i++) {
      list("cold" + i, 60_000);
    }
    list("warm", 0);
    for (int i = 0; i < 20; i++) {
      submit(1);
      timers.advance(100);
    }
    assertThat(sent, hasSize(20));
    assertThat(sent, everyItem(startsWith("warm")));
  }

  @Test
  void requestsWaitForTheTurnsOfAColdServer() {
    list("cold", 60_000);
    submit(3);
    assertThat(sent, contains("cold"));
    timers.advance(INTERVAL_MILLIS);
    assertThat(sent, contains("cold", "cold"));
    timers.advance(INTERVAL_MILLIS);
    assertThat(sent, contains("cold", "cold", "cold"));
    assertThat(outcomes, everyItem(instanceOf(ForwardOutcome.Answered.class)));
  }

  @Test
  void requestsWhoseTurnIsTooLateAreRefusedAtOnce() {
    list("cold", 60_000);
    submit(10);
    List<ForwardOutcome> refused =
        outcomes.stream().filter(ForwardOutcome.NotRun.class::isInstance).toList();
    assertThat(refused, hasSize(6));
    timers.advance(DEADLINE_MILLIS);
    assertThat(sent, hasSize(4));
    assertThat(outcomes, hasSize(10));
  }

  @Test
  void aRequestIsRefusedAtOnceIfItsTurnComesAfterItsDeadline() {
    list("cold", 60_000);
    submit(2, INTERVAL_MILLIS - 5);
    assertThat(sent, hasSize(1));
    assertThat(outcomes, hasSize(2));
    assertThat(outcomes.get(1), instanceOf(ForwardOutcome.NotRun.class));
  }

  @Test
  void aRequestWaitsNoLongerOnceTheServerIsWarm() {
    list("cold", 60_000);
    submit(2);
    list("cold", 0);
    submit(5);
    assertThat(sent, hasSize(6));
  }

  @Test
  void withoutAShareRequestsAreRefusedAtOnce() {
    list("cold", 60_000);
    directory.coldStartShares().clear();
    submit(1);
    assertThat(sent, empty());
    assertThat(outcomes, contains(instanceOf(ForwardOutcome.NotRun.class)));
  }
}
