package org.passhaven.node.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.route.Route;
import org.passhaven.core.route.RouteTable;
import org.passhaven.core.route.ServiceShare;
import org.passhaven.node.ClockJumpDetectingTimers;
import org.passhaven.node.ManualTimers;
import org.passhaven.node.MemoryLog;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.duty.DutyRecord;
import org.passhaven.spi.BackEndService.Order;
import org.passhaven.spi.BackEndService.OrderOutcome;
import org.passhaven.spi.DutyService;
import org.passhaven.spi.TableService;

/** Guards records of loaded versions against answers to orders that the server's state denies. */
class VersionOrderDutyTest {
  private static final String STREAM = "orders.0";
  private static final byte[] DOCUMENT = {1};
  private static final ServerIncarnation SERVER = ServerIncarnation.of("s");
  private final ManualTimers timers = new ManualTimers();
  private final MemoryLog log = new MemoryLog(timers);
  private final MemoryTables tables = new MemoryTables(timers);
  private final List<Order> orders = new ArrayList<>();
  private OrderOutcome outcome = OrderOutcome.IN_EFFECT;
  private long loadedVersion = 1;
  private PlatformDirectory directory;

  private final class Servers extends GatewayFixture.SilentServers {
    @Override
    public Uni<Report> report(Target target, long limitMillis) {
      return Uni.createFrom()
          .item(() -> new Report(false, orders.size(), 0, Map.of("m", loadedVersion)));
    }

    @Override
    public Uni<OrderOutcome> order(Target target, Order order, long limitMillis) {
      orders.add(order);
      return Uni.createFrom().item(outcome);
    }
  }

  private static final class Documents extends GatewayFixture.EmptyDocuments {
    @Override
    public boolean isConfiguration(String key) {
      return key.equals("config");
    }

    @Override
    public RouteTable parseConfiguration(byte[] document) {
      Route route =
          new Route(
              "r",
              "h",
              "/",
              List.of(new ServiceShare("llm", 1)),
              Route.Kind.JOBS,
              0,
              250,
              3,
              false,
              false,
              0,
              0,
              true);
      return new RouteTable(
          1, List.of(route), RouteTable.EMPTY.limits(), RouteTable.EMPTY.tenants(), Map.of());
    }

    @Override
    public Map<String, Long> parseAnnouncedVersions(String key, byte[] document) {
      return Map.of("m", 2L);
    }

    @Override
    public ServerEntry parseServer(String key, byte[] document) {
      return new ServerEntry(SERVER, "llm", "h:1", "z", 4, true, Map.of("m", 1L));
    }
  }

  @BeforeEach
  void start() {
    GatewayContext context =
        new GatewayContext(
            GatewayFixture.settings(1, 262_144, 2_097_152),
            1,
            new ClockJumpDetectingTimers(timers),
            bound -> 0,
            log,
            tables.asService(),
            new Servers(),
            DutyService.NONE,
            new Documents(),
            new GatewayMetrics(new SimpleMeterRegistry()));
    MembershipAgent members = new MembershipAgent(context, () -> 0, () -> false, () -> 250);
    JobLog jobs = new JobLog(context);
    directory = new PlatformDirectory(context, () -> 0);
    DutyAgent agent = new DutyAgent(context, members, jobs);
    new VersionOrderDuty(context, directory, jobs, agent);
    tables.add(
        "operator",
        List.of(
            new TableService.Entry("config", DOCUMENT),
            new TableService.Entry("version", DOCUMENT)));
    tables.add("servers", List.of(new TableService.Entry("s", DOCUMENT)));
    directory.start();
    members.start(() -> jobs.start(members.heartbeats()), () -> {});
    agent.start(new DecisionTick(context));
  }

  private List<DutyRecord> reached() {
    return log.stream(STREAM).stream()
        .map(bytes -> Codec.decode(bytes, DutyRecord.class))
        .filter(DutyRecord.Reached.class::isInstance)
        .toList();
  }

  private long knownVersion() {
    return directory.servers().get(SERVER).versionOf("m");
  }

  @Test
  void anAnswerThatSaysInEffectIsNotRecordedUnlessTheServersStateConfirmsIt() {
    timers.advance(10_000);
    assertThat("the version is ordered again", orders.size(), greaterThan(1));
    assertThat(reached(), empty());
    assertThat(knownVersion(), equalTo(1L));
  }

  @Test
  void aVersionThatTheServersStateConfirmsIsRecordedOnce() {
    timers.advance(3_000);
    loadedVersion = 2;
    timers.advance(5_000);
    assertThat(reached().size(), equalTo(1));
    assertThat(knownVersion(), equalTo(2L));
  }

  @Test
  void aLoadThatIsStartedIsRecordedWhenTheServersStateShowsIt() {
    outcome = OrderOutcome.STARTED;
    timers.advance(5_000);
    assertThat(reached(), empty());
    loadedVersion = 2;
    timers.advance(5_000);
    assertThat(reached().size(), equalTo(1));
  }
}
