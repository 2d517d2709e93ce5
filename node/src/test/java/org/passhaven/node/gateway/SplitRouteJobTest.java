package org.passhaven.node.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.smallrye.mutiny.Multi;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.route.RequestLimits;
import org.passhaven.core.route.Route;
import org.passhaven.core.route.RouteTable;
import org.passhaven.core.route.ServiceShare;
import org.passhaven.core.tenant.TenantTable;
import org.passhaven.node.ManualTimers;
import org.passhaven.node.MemoryLog;
import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.job.JobSubmission;
import org.passhaven.spi.DutyService;
import org.passhaven.spi.TableService;

/**
 * Guards against items that wait beside idle servers of their route: one that is split between
 * services, or that has left the configuration.
 */
class SplitRouteJobTest {
  private static final String MODEL = "m";
  private static final int SLOTS = 8;
  private static final int ITEMS = 72;
  private static final long EVENT_MILLIS = 100;
  private static final int EVENTS = 18;
  private final ManualTimers timers = new ManualTimers();
  private final MemoryLog log = new MemoryLog(timers);
  private final MemoryTables tables = new MemoryTables(timers);
  private final Servers servers = new Servers();
  private final List<String> submitted = new ArrayList<>();
  private long version;
  private Gateway gateway;

  private void split(String shares) {
    put("operator", "configuration", ++version + " " + shares);
  }

  private void addServers(String service, int count) {
    for (int i = 0; i < count; i++) {
      put("servers", service + "-" + i, "ready");
    }
  }

  private void put(String table, String key, String value) {
    byte[] bytes = value == null ? null : value.getBytes(StandardCharsets.UTF_8);
    tables.add(table, List.of(new TableService.Entry(key, bytes)));
  }

  private Gateway startNode(long incarnation) {
    Gateway node =
        new Gateway(
            new GatewayContext(
                GatewayFixture.settings(1, 262_144, 2_097_152),
                incarnation,
                timers,
                bound -> 0,
                log,
                tables.asService(),
                servers,
                DutyService.NONE,
                new Documents(),
                new GatewayMetrics(new SimpleMeterRegistry())));
    node.start();
    timers.advance(2_000);
    return node;
  }

  private void submit(String job, int items) {
    List<JobItem> requests = new ArrayList<>();
    for (int i = 0; i < items; i++) {
      String id = job + "-" + i;
      submitted.add(id);
      requests.add(
          new JobItem(id, "/p/" + id, List.of(), new byte[0], job + "-g" + i / 4, 0, null));
    }
    JobSubmission submission =
        new JobSubmission(job, "h", "/p/", "", job, MODEL, 0, 1, items, requests);
    gateway.jobs().submit(submission, 2_000).subscribe().with(outcome -> {});
  }

  private double shareOf(String service) {
    return (double) servers.runsOf(service) / servers.begun.size();
  }

  private Set<String> unfinished() {
    return submitted.stream()
        .filter(item -> !servers.completed.contains(item))
        .collect(Collectors.toSet());
  }

  /** Guards against a step that times out beside the idle servers of the larger part (review 5). */
  @Test
  void aSmallFirstPartDoesNotGetAllItemsOfAStep() {
    addServers("small", 1);
    addServers("large", 7);
    split("small=10 large=90");
    gateway = startNode(1);
    submit("j", ITEMS);
    timers.advance(8_000);
    assertThat(unfinished(), empty());
    assertThat(shareOf("small"), both(greaterThanOrEqualTo(0.05)).and(lessThanOrEqualTo(0.15)));
  }

  /** Guards against a split whose weights items do not follow although every part has room. */
  @Test
  void eachPartGetsItsShareWhileItHasRoom() {
    addServers("a", 7);
    addServers("b", 7);
    split("a=30 b=70");
    gateway = startNode(1);
    for (int step = 0; step < 4; step++) {
      submit("j" + step, ITEMS);
      timers.advance(8_000);
    }
    assertThat(unfinished(), empty());
    assertThat(shareOf("a"), both(greaterThanOrEqualTo(0.25)).and(lessThanOrEqualTo(0.35)));
  }

  /** Guards against the items of small jobs that all go to the part of the largest weight. */
  @Test
  void jobsOfOneItemFollowTheWeightsInTotal() {
    addServers("a", 2);
    addServers("b", 2);
    split("a=30 b=70");
    gateway = startNode(1);
    for (int job = 0; job < 200; job++) {
      submit("j" + job, 1);
      timers.advance(200);
    }
    assertThat(shareOf("a"), both(greaterThanOrEqualTo(0.2)).and(lessThanOrEqualTo(0.4)));
  }

  /** Guards against items that go to a part from which the operator has taken all requests. */
  @Test
  void aPartOfWeightZeroGetsNoItems() {
    addServers("a", 7);
    addServers("b", 1);
    split("a=0 b=100");
    gateway = startNode(1);
    submit("j", 24);
    timers.advance(10_000);
    assertThat(unfinished(), empty());
    assertThat(servers.runsOf("a"), equalTo(0L));
  }

  /** Guards against items that wait for the servers of a part that has none. */
  @Test
  void theItemsOfAPartWithoutServersRunAtTheOtherPart() {
    addServers("b", 7);
    split("a=50 b=50");
    gateway = startNode(1);
    submit("j", 40);
    timers.advance(3_000);
    assertThat(unfinished(), empty());
  }

  /** Guards against items that wait for a part without servers for them after its servers left. */
  @Test
  void theItemsOfAPartWhoseServersLeaveRunAtTheOtherPart() {
    addServers("a", 1);
    addServers("b", 7);
    split("a=50 b=50");
    gateway = startNode(1);
    submit("j", 40);
    timers.advance(500);
    put("servers", "a-0", null);
    timers.advance(4_500);
    assertThat(unfinished(), empty());
  }

  /** Guards against items that wait beside idle servers of a part whose weight was raised. */
  @Test
  void itemsThatHaveNotBegunFollowTheWeightsOfANewConfiguration() {
    addServers("a", 1);
    addServers("b", 9);
    split("a=100 b=0");
    gateway = startNode(1);
    submit("j", ITEMS);
    timers.advance(500);
    assertThat(servers.begun, hasSize(SLOTS));
    split("a=0 b=100");
    timers.advance(3_000);
    assertThat(unfinished(), empty());
    assertThat(servers.runsOf("a"), equalTo((long) SLOTS));
  }

  /** Guards against a split that a successor of the killed runner does not follow. */
  @Test
  void theSuccessorOfAKilledRunnerFollowsTheWeights() {
    addServers("a", 7);
    addServers("b", 7);
    split("a=10 b=90");
    gateway = startNode(1);
    submit("j", 100);
    timers.advance(1_000);
    startNode(2);
    timers.advance(8_000);
    assertThat(unfinished(), empty());
    assertThat(shareOf("a"), lessThanOrEqualTo(0.15));
  }

  /** Guards against a step that vanishes with its route when its runner is killed (review 6). */
  @Test
  void theSuccessorOfAKilledRunnerRunsAStepWhoseRouteHasLeftTheConfiguration() {
    addServers("a", 2);
    split("a=1");
    gateway = startNode(1);
    submit("j", 40);
    timers.advance(1_000);
    split("none");
    timers.advance(500);
    startNode(2);
    timers.advance(8_000);
    assertThat(unfinished(), empty());
  }

  /** Guards against a run whose part is full of another run's items and that waits beside room. */
  @Test
  void twoRunsOverOneSplitAreBothWhole() {
    addServers("a", 1);
    addServers("b", 3);
    split("a=60 b=40");
    gateway = startNode(1);
    submit("j", 40);
    submit("k", 40);
    timers.advance(12_000);
    assertThat(unfinished(), empty());
  }

  /** Servers that generate texts of {@link #EVENTS} events. */
  private final class Servers extends GatewayFixture.SilentServers {
    final List<String> begun = new ArrayList<>();
    final List<String> completed = new ArrayList<>();

    long runsOf(String service) {
      return begun.stream().filter(server -> server.startsWith(service + "-")).count();
    }

    @Override
    public Multi<Progress> generate(Target target, Generation generation) {
      begun.add(target.instance());
      return Multi.createFrom()
          .emitter(
              emitter -> {
                emitter.emit(new Progress.Began(1));
                for (long event = generation.lastEvent() + 1; event <= EVENTS; event++) {
                  long number = event;
                  timers.after(
                      (event - generation.lastEvent()) * EVENT_MILLIS,
                      () -> emitter.emit(new Progress.Event(number, 0, "text")));
                }
                timers.after(
                    (EVENTS - generation.lastEvent()) * EVENT_MILLIS + 1,
                    () -> {
                      if (!emitter.isCancelled()) {
                        completed.add(generation.call().id());
                        emitter.complete();
                      }
                    });
              });
    }
  }

  /** Documents whose configuration names the services of the only route and their weights. */
  private static final class Documents extends GatewayFixture.EmptyDocuments {
    @Override
    public boolean isConfiguration(String key) {
      return true;
    }

    @Override
    public RouteTable parseConfiguration(byte[] document) {
      String[] fields = new String(document, StandardCharsets.UTF_8).split(" ");
      List<ServiceShare> shares =
          Arrays.stream(fields)
              .filter(field -> field.contains("="))
              .map(share -> share.split("="))
              .map(share -> new ServiceShare(share[0], Long.parseLong(share[1])))
              .toList();
      return new RouteTable(
          Long.parseLong(fields[0]),
          shares.isEmpty() ? List.of() : List.of(route(shares)),
          RequestLimits.DEFAULT,
          TenantTable.NONE);
    }

    private static Route route(List<ServiceShare> shares) {
      return new Route(
          "r", "h", "/p/", shares, Route.Kind.JOBS, 0, 0, 3, true, false, 0, 30_000, true);
    }

    @Override
    public ServerEntry parseServer(String key, byte[] document) {
      return new ServerEntry(
          ServerIncarnation.of(key),
          key.substring(0, key.indexOf('-')),
          key + ":1",
          "z",
          SLOTS,
          true,
          Map.of(MODEL, 1L));
    }
  }
}
