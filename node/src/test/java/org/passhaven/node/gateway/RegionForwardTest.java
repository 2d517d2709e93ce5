package org.passhaven.node.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.route.Route;
import org.passhaven.core.route.ServiceShare;
import org.passhaven.core.topology.Topology;
import org.passhaven.node.ClockJumpDetectingTimers;
import org.passhaven.node.ManualTimers;
import org.passhaven.node.MemoryLog;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.member.MemberBeat;
import org.passhaven.spi.BackEndService.Answer;
import org.passhaven.spi.BackEndService.Call;
import org.passhaven.spi.DutyService;
import org.passhaven.spi.TableService.Entry;

/**
 * Guards against requests that cross regions while their own has a usable server, and against
 * failures while it has none.
 */
class RegionForwardTest {
  private static final int SLOTS = 2;
  private static final long DEADLINE_MILLIS = 1_500;
  private final ManualTimers timers = new ManualTimers();
  private final MemoryTables tables = new MemoryTables(timers);
  private final List<Sent> sent = new ArrayList<>();
  private final GatewayMetrics metrics = new GatewayMetrics(new SimpleMeterRegistry());
  private RequestForwarder forwarder;

  private record Sent(String server, UniEmitter<? super Answer> answer) {
    void succeed() {
      answer.complete(new Answer(200, false, "signed", List.of(), new byte[0]));
    }

    void refuse() {
      answer.complete(new Answer(503, true, "", List.of(), new byte[0]));
    }
  }

  private final class Servers extends GatewayFixture.SilentServers {
    @Override
    public Uni<Answer> call(Target target, Call call) {
      return Uni.createFrom().emitter(emitter -> sent.add(new Sent(target.instance(), emitter)));
    }

    @Override
    public Uni<Answer> callOnNewConnection(Target target, Call call) {
      return call(target, call);
    }
  }

  private static final class Documents extends GatewayFixture.EmptyDocuments {
    @Override
    public ServerEntry parseServer(String key, byte[] document) {
      return Codec.decode(document, ServerEntry.class);
    }
  }

  private void list(String id, String zone) {
    ServerEntry entry =
        new ServerEntry(ServerIncarnation.of(id), "s", id + ":1", zone, SLOTS, true, Map.of());
    tables.add("servers", List.of(new Entry(id, Codec.encode(entry))));
  }

  /** Two servers in another zone of the region, six in the other region. */
  @BeforeEach
  void start() {
    GatewayContext context =
        new GatewayContext(
            GatewayFixture.settings(
                new Topology("z", Map.of("z", "own", "y", "own", "x", "other", "w", "other"))),
            1,
            new ClockJumpDetectingTimers(timers),
            bound -> 0,
            new MemoryLog(timers),
            tables.asService(),
            new Servers(),
            DutyService.NONE,
            new Documents(),
            metrics);
    list("own0", "y");
    list("own1", "y");
    for (int i = 0; i < 6; i++) {
      list("other" + i, i % 2 == 0 ? "x" : "w");
    }
    PlatformDirectory directory = new PlatformDirectory(context, () -> 0);
    directory.start();
    CrashTracker crashes = new CrashTracker(context, directory);
    crashes.start();
    List<MemberBeat> nodes =
        List.of(
            new MemberBeat("n", "n:1", "z", 1, true, 0, 500, 0, 0),
            new MemberBeat("m", "m:1", "x", 1, true, 0, 500, 0, 0));
    forwarder =
        new RequestForwarder(context, directory, () -> nodes, crashes, (tenant, sentAt) -> {});
    timers.advance(10);
  }

  private void submit() {
    Route route =
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
    Call call = new Call("id", "", "GET", "/p", "h", List.of(), new byte[0], DEADLINE_MILLIS);
    forwarder.forward(route, call).subscribe().with(outcome -> {});
    timers.advance(5);
  }

  private Sent last() {
    return sent.get(sent.size() - 1);
  }

  @Test
  void requestsStayInTheRegionUntilItsServersAreFullAndReturnAtOnce() {
    for (int i = 0; i < 2 * SLOTS; i++) {
      submit();
      assertThat(last().server(), startsWith("own"));
    }
    assertThat(metrics.attemptsInOtherRegion.count(), is(0.0));
    submit();
    assertThat(last().server(), startsWith("other"));
    assertThat(metrics.attemptsInOtherRegion.count(), is(1.0));
    sent.get(0).succeed();
    submit();
    assertThat(last().server(), equalTo(sent.get(0).server()));
  }

  @Test
  void aRequestThatTheRegionRefusesCrossesWithinItsAttempts() {
    submit();
    for (int refused = 0; refused < 2; refused++) {
      assertThat(last().server(), startsWith("own"));
      last().refuse();
      timers.advance(15);
    }
    assertThat(sent, hasSize(3));
    assertThat(last().server(), startsWith("other"));
    last().succeed();
    timers.advance(1_000);
    submit();
    assertThat("the next one looks at home first", last().server(), startsWith("own"));
  }
}
