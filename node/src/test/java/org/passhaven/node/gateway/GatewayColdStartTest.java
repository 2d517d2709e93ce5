package org.passhaven.node.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.smallrye.mutiny.Multi;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
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
import org.passhaven.node.ManualTimers;
import org.passhaven.node.MemoryLog;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.job.JobSubmission;
import org.passhaven.protocol.member.MemberBeat;
import org.passhaven.spi.DutyService;
import org.passhaven.spi.TableService.Entry;

/** Guards a whole node against generations beyond its share of a cold server's load limit. */
class GatewayColdStartTest {
  private static final long RAISE_DELAY_MILLIS = 2_000;
  private static final int ITEMS = 200;
  private final ManualTimers timers = new ManualTimers();
  private final MemoryTables tables = new MemoryTables(timers);
  private final MemoryLog log = new MemoryLog(timers);
  private final List<Long> begunAtMillis = new ArrayList<>();
  private final Gateway gateway =
      new Gateway(
          new GatewayContext(
              GatewayFixture.settings(1, 262_144, 2_097_152),
              1,
              timers,
              bound -> 0,
              log,
              tables.asService(),
              new Servers(),
              DutyService.NONE,
              new Documents(),
              new GatewayMetrics(new SimpleMeterRegistry())));

  private final class Servers extends GatewayFixture.SilentServers {
    @Override
    public Multi<Progress> generate(Target target, Generation generation) {
      begunAtMillis.add(timers.nowMillis());
      return Multi.createFrom().items(new Progress.Began(1), new Progress.Event(1, 0, "text"));
    }
  }

  private static final class Documents extends GatewayFixture.EmptyDocuments {
    @Override
    public boolean isConfiguration(String key) {
      return true;
    }

    @Override
    public RouteTable parseConfiguration(byte[] document) {
      Route route =
          new Route(
              "r",
              "h",
              "/p/",
              List.of(new ServiceShare("llm", 1)),
              Route.Kind.JOBS,
              0,
              0,
              3,
              false,
              false,
              0,
              0,
              true);
      ServiceSpec spec =
          new ServiceSpec("llm", Optional.of(new ColdStart(5_000, 10)), Optional.empty());
      return new RouteTable(
          1, List.of(route), RequestLimits.DEFAULT, TenantTable.NONE, Map.of("llm", spec));
    }

    @Override
    public ServerEntry parseServer(String key, byte[] document) {
      return Codec.decode(document, ServerEntry.class);
    }
  }

  private void list(long coldMillis) {
    ServerEntry entry =
        new ServerEntry(
            ServerIncarnation.of("s"), "llm", "s:1", "z", 6, true, Map.of("m", 1L), coldMillis);
    tables.add("servers", List.of(new Entry("s", Codec.encode(entry))));
  }

  /** Starts the node in front of a cold server and submits a job. */
  private void start() {
    tables.add("operator", List.of(new Entry("c", new byte[0])));
    list(60_000);
    gateway.start();
    timers.advance(2_000);
    List<JobItem> items =
        IntStream.range(0, ITEMS)
            .mapToObj(i -> new JobItem("x" + i, "/p/", List.of(), new byte[0], "g" + i, 0, null))
            .toList();
    JobSubmission submission = new JobSubmission("j", "h", "/p/", "", "m", "m", 0, 1, 1, items);
    gateway.jobs().submit(submission, 2_000).subscribe().with(outcome -> {});
  }

  private void advanceAndForget(long millis) {
    timers.advance(millis);
    begunAtMillis.clear();
  }

  @Test
  void theOnlyNodeSendsFourFifthsOfTheRate() {
    start();
    advanceAndForget(6_000);
    timers.advance(5_000);
    assertThat(begunAtMillis.size(), allOf(greaterThan(20), lessThanOrEqualTo(41)));
  }

  @Test
  void aNodeSendsItsShareOfTheRuns() {
    start();
    MemberBeat other = new MemberBeat("o", "o:1", "z", 1, true, 0, 500, 0, 0, List.of(), 3);
    timers.every(400, () -> log.stream("members.0").add(Codec.encode(other)));
    advanceAndForget(6_000);
    timers.advance(5_000);
    assertThat(begunAtMillis.size(), allOf(greaterThanOrEqualTo(8), lessThanOrEqualTo(11)));
  }

  @Test
  void nothingIsSentAfterASuspensionUntilTheViewIsCurrentAgain() {
    start();
    advanceAndForget(6_000);
    timers.suspend(3_000);
    timers.advance(RAISE_DELAY_MILLIS);
    assertThat(begunAtMillis, empty());
    timers.advance(2_000);
    assertThat(begunAtMillis.size(), greaterThan(0));
  }

  @Test
  void allItemsAreSentOnceTheServerIsWarm() {
    start();
    advanceAndForget(6_000);
    int before = begunAtMillis.size();
    list(0);
    timers.advance(5_000);
    assertThat(begunAtMillis.size() - before, greaterThan(100));
  }

  @Test
  void heartbeatsTellTheOwnedRuns() {
    start();
    advanceAndForget(1_000);
    List<byte[]> heartbeats = log.stream("members.0");
    MemberBeat last = Codec.decode(heartbeats.get(heartbeats.size() - 1), MemberBeat.class);
    assertThat(last.ownedRuns(), equalTo(1));
  }
}
