package org.passhaven.node.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.smallrye.mutiny.Uni;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.duty.DutyLease;
import org.passhaven.core.order.ConcurrentLoadLimit;
import org.passhaven.core.route.RouteTable;
import org.passhaven.core.service.Scaling;
import org.passhaven.core.service.ServiceSpec;
import org.passhaven.core.topology.Topology;
import org.passhaven.node.ClockJumpDetectingTimers;
import org.passhaven.node.ManualTimers;
import org.passhaven.node.MemoryLog;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.duty.DutyRecord;
import org.passhaven.protocol.duty.ServiceFigures;
import org.passhaven.spi.DutyService;
import org.passhaven.spi.LogService;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.TableService;
import org.passhaven.spi.Timers;

/** Guards the orders for servers against lost answers, refusals, cuts and changes of the holder. */
class ScalingDutyTest {
  private static final String STREAM = "orders.0";
  private final ManualTimers timers = new ManualTimers();
  private final MemoryLog log = new MemoryLog(timers);
  private final MemoryTables tables = new MemoryTables(timers);
  private final List<DutyService.ScaleOrder> calls = new ArrayList<>();
  private final List<Long> callTimes = new ArrayList<>();
  private final Set<String> exhaustedZones = new HashSet<>();
  private Manner manner = Manner.ACCEPTS;
  private boolean isStoreDown;

  /** How the platform answers. */
  private enum Manner {
    ACCEPTS,
    LOSES_ANSWERS,
    REFUSES
  }

  private final DutyService platform =
      new DutyService() {
        @Override
        public Uni<Void> reportUsage(Usage usage, long limitMillis) {
          return Uni.createFrom().nothing();
        }

        @Override
        public Uni<ScaleOutcome> scale(ScaleOrder order, long limitMillis) {
          calls.add(order);
          callTimes.add(timers.nowMillis());
          if (exhaustedZones.contains(order.zone())) {
            return Uni.createFrom().item(ScaleOutcome.UNAVAILABLE);
          }
          return switch (manner) {
            case ACCEPTS -> Uni.createFrom().item(ScaleOutcome.ACCEPTED);
            case LOSES_ANSWERS ->
                timers.withTimeout(Uni.createFrom().nothing(), limitMillis, "scale");
            case REFUSES ->
                Uni.createFrom()
                    .failure(new PlatformException(PlatformException.Kind.NOT_RUN, "status 429"));
          };
        }
      };

  private static final class Documents extends GatewayFixture.EmptyDocuments {
    @Override
    public boolean isConfiguration(String key) {
      return true;
    }

    @Override
    public RouteTable parseConfiguration(byte[] document) {
      Optional<Scaling> scaling =
          text(document).equals("scaled")
              ? Optional.of(new Scaling(1, 6, 4_000, OptionalDouble.of(0.2), Map.of()))
              : Optional.empty();
      return new RouteTable(
          1,
          List.of(),
          RouteTable.EMPTY.limits(),
          RouteTable.EMPTY.tenants(),
          Map.of("llm", new ServiceSpec("llm", Optional.empty(), scaling)));
    }

    @Override
    public ServerEntry parseServer(String key, byte[] document) {
      return new ServerEntry(
          ServerIncarnation.of(key),
          "llm",
          "h:1",
          key.substring(0, 1),
          4,
          text(document).equals("ready"),
          Map.of());
    }
  }

  private static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.UTF_8);
  }

  /** Tables whose waiting reads end in time, and which fail while the store is down. */
  private final class AnsweringTables implements TableService {
    private final TableService all = tables.asService();

    @Override
    public Uni<Page> list(String table, String afterKey) {
      return isStoreDown ? refusal() : all.list(table, afterKey);
    }

    @Override
    public Uni<Changes> changes(String table, long from, long waitMillis) {
      return isStoreDown
          ? refusal()
          : Uni.createFrom()
              .emitter(
                  emitter -> {
                    all.changes(table, from, waitMillis).subscribe().with(emitter::complete);
                    timers.after(
                        waitMillis,
                        () -> {
                          if (isStoreDown) {
                            emitter.fail(
                                new PlatformException(PlatformException.Kind.NOT_RUN, "down"));
                          } else {
                            emitter.complete(new Changes(List.of(), false, from));
                          }
                        });
                  });
    }

    @Override
    public Uni<Void> put(String table, List<Entry> entries) {
      return all.put(table, entries);
    }

    private <T> Uni<T> refusal() {
      return Uni.createFrom()
          .failure(new PlatformException(PlatformException.Kind.NOT_RUN, "down"));
    }
  }

  /** A node with its own link to the log. */
  private final class Node implements LogService {
    private final Timers ownTimers = new ClockJumpDetectingTimers(timers);
    private final DutyAgent agent;
    private boolean isCut;

    Node(String name, boolean mayScale) {
      GatewayContext context =
          new GatewayContext(
              settings(name, mayScale),
              1,
              ownTimers,
              bound -> 0,
              this,
              new AnsweringTables(),
              new GatewayFixture.SilentServers(),
              platform,
              new Documents(),
              new GatewayMetrics(new SimpleMeterRegistry()));
      MembershipAgent members = new MembershipAgent(context, () -> 0, () -> false, () -> 250);
      JobLog jobs = new JobLog(context);
      PlatformDirectory directory = new PlatformDirectory(context, () -> 0);
      agent = new DutyAgent(context, members, jobs);
      new ScalingDuty(context, directory, jobs, agent);
      directory.start();
      members.start(() -> jobs.start(members.heartbeats()), () -> {});
      agent.start(new DecisionTick(context));
    }

    @Override
    public Uni<Long> append(String stream, List<byte[]> records) {
      return isCut ? Uni.createFrom().nothing() : log.append(stream, records);
    }

    @Override
    public Uni<Batch> read(String stream, long from, int maxRecords, long waitMillis) {
      return isCut
          ? Uni.createFrom().nothing()
          : log.read(stream, from, maxRecords, waitMillis)
              .onItem()
              .transformToUni(
                  batch ->
                      isCut ? Uni.createFrom().<Batch>nothing() : Uni.createFrom().item(batch));
    }
  }

  private static GatewaySettings settings(String node, boolean mayScale) {
    return new GatewaySettings(
        node,
        "a",
        node + ":1",
        1,
        Duration.ofMillis(500),
        Duration.ofMillis(1_500),
        Duration.ofMillis(100),
        new DutyLease.Settings(1_000, 3_000, 3_000, 2_000, 400, 20_000),
        new ConcurrentLoadLimit(2, 0.3),
        Duration.ofSeconds(2),
        Duration.ofSeconds(150),
        262_144,
        2_097_152,
        Optional.empty(),
        0,
        Topology.ofZone("a"),
        1,
        mayScale);
  }

  private void configure(String content) {
    put("operator", "configuration", content);
  }

  private void put(String table, String key, String value) {
    byte[] bytes = value == null ? null : value.getBytes(StandardCharsets.UTF_8);
    tables.add(table, List.of(new TableService.Entry(key, bytes)));
  }

  private void drain(String server) {
    put("servers", server, "draining");
  }

  /** Starts a node before two servers in each of three zones, and lets them settle. */
  private Node startSettled() {
    configure("scaled");
    for (String server : List.of("a1", "a2", "b1", "b2", "c1", "c2")) {
      put("servers", server, "ready");
    }
    Node node = new Node("n", true);
    timers.advance(12_000);
    assertThat(calls, empty());
    return node;
  }

  private List<DutyRecord.ScalingFigures> records() {
    return log.stream(STREAM).stream()
        .map(bytes -> Codec.decode(bytes, DutyRecord.class))
        .filter(DutyRecord.ScalingFigures.class::isInstance)
        .map(DutyRecord.ScalingFigures.class::cast)
        .toList();
  }

  private List<String> callTexts() {
    return calls.stream().map(call -> call.zone() + call.servers()).toList();
  }

  @Test
  void nothingIsOrderedOrRecordedInCalm() {
    startSettled();
    timers.advance(10_000);
    assertThat(calls, empty());
    assertThat(records().size(), equalTo(1));
    assertThat(records().get(0).services().get("llm").floor(), equalTo(6));
  }

  @Test
  void theDutyIsSilentWithoutPermissionOrScaledServices() {
    configure("plain");
    for (String server : List.of("a1", "b1")) {
      put("servers", server, "ready");
    }
    new Node("n", true);
    timers.advance(12_000);
    drain("a1");
    timers.advance(20_000);
    assertThat(log.stream(STREAM), empty());
    assertThat(calls, empty());
  }

  @Test
  void theDutyIsSilentOnADeploymentThatDoesNotScale() {
    configure("scaled");
    for (String server : List.of("a1", "b1")) {
      put("servers", server, "ready");
    }
    new Node("n", false);
    timers.advance(12_000);
    drain("a1");
    timers.advance(20_000);
    assertThat(log.stream(STREAM), empty());
    assertThat(calls, empty());
  }

  @Test
  void aDrainingServerIsReplacedOnceAndTheOrderIsRecordedBeforeTheCall() {
    startSettled();
    log.appendBehavior = MemoryLog.Behavior.REJECTS_CALLS;
    drain("a1");
    timers.advance(3_000);
    assertThat(calls, empty());
    log.appendBehavior = MemoryLog.Behavior.NORMAL;
    timers.advance(5_000);
    assertThat(callTexts(), contains("b3"));
    put("servers", "b3", "ready");
    timers.advance(30_000);
    assertThat(callTexts(), contains("b3"));
  }

  @Test
  void anOrderWithoutAnAnswerIsRepeatedUnchangedEverMoreSlowly() {
    startSettled();
    manner = Manner.LOSES_ANSWERS;
    drain("a1");
    timers.advance(30_000);
    assertThat(Set.copyOf(callTexts()), equalTo(Set.of("b3")));
    assertThat(calls.size(), greaterThan(3));
    assertThat(calls.size(), lessThanOrEqualTo(8));
    manner = Manner.ACCEPTS;
    timers.advance(10_000);
    int answered = calls.size();
    put("servers", "b3", "ready");
    timers.advance(30_000);
    assertThat(calls.size(), equalTo(answered));
  }

  @Test
  void aRefusedOrderIsRepeatedUnchangedEverMoreSlowly() {
    startSettled();
    manner = Manner.REFUSES;
    drain("a1");
    timers.advance(30_000);
    assertThat(Set.copyOf(callTexts()), equalTo(Set.of("b3")));
    assertThat(calls.size(), lessThanOrEqualTo(8));
  }

  @Test
  void aZoneWithoutServersIsLeftOutForAWhileAndAnotherGetsThem() {
    startSettled();
    exhaustedZones.add("b");
    drain("a1");
    timers.advance(4_000);
    assertThat(callTexts(), contains("b3", "c3"));
    put("servers", "c3", "ready");
    timers.advance(30_000);
    assertThat(callTexts(), contains("b3", "c3"));
    assertThat(
        records().get(records().size() - 1).services().get("llm").zones().keySet(),
        equalTo(Set.of("c")));
  }

  @Test
  void exhaustedZonesAreAskedEverMoreSlowly() {
    startSettled();
    exhaustedZones.addAll(List.of("a", "b", "c"));
    drain("a1");
    timers.advance(60_000);
    assertThat(calls.size(), greaterThan(5));
    assertThat(calls.size(), lessThanOrEqualTo(15));
  }

  @Test
  void aFewCallsASecondAtMost() {
    startSettled();
    drain("a1");
    drain("a2");
    timers.advance(5_000);
    assertThat(callTexts(), contains("b3", "c3"));
    assertThat(callTimes.get(1) - callTimes.get(0), greaterThan(299L));
  }

  @Test
  void aSuccessorSendsTheOrderThatItsPredecessorRecorded() {
    Node first = startSettled();
    Node second = new Node("m", true);
    timers.advance(3_000);
    manner = Manner.LOSES_ANSWERS;
    drain("a1");
    timers.advance(500);
    assertThat(
        records().get(records().size() - 1).services().get("llm").zones().keySet(),
        equalTo(Set.of("b")));
    first.isCut = true;
    int before = calls.size();
    timers.advance(1_500);
    int whileCutOff = calls.size();
    manner = Manner.ACCEPTS;
    timers.advance(8_000);
    put("servers", "b3", "ready");
    timers.advance(15_000);
    assertThat(second.agent.isHolder(), equalTo(true));
    assertThat(Set.copyOf(callTexts()), equalTo(Set.of("b3")));
    assertThat(calls.size(), equalTo(whileCutOff + 1));
    assertThat(calls.get(calls.size() - 1).owner(), equalTo("m"));
    assertThat(calls.get(calls.size() - 1).fence(), greaterThan(calls.get(0).fence()));
    assertThat(before, lessThanOrEqualTo(whileCutOff));
  }

  @Test
  void aHolderThatIsCutOffFromTheStoreSendsNothingOnceItsLeaseHasEnded() {
    Node node = startSettled();
    node.isCut = true;
    timers.advance(2_000);
    drain("a1");
    timers.advance(30_000);
    assertThat(calls, empty());
    assertThat(node.agent.mayAct(), equalTo(false));
  }

  @Test
  void aRecordOfAFormerHolderThatArrivesLateChangesNothing() {
    Node node = startSettled();
    drain("a1");
    timers.advance(3_000);
    put("servers", "b3", "ready");
    timers.advance(3_000);
    int before = calls.size();
    log.stream(STREAM)
        .add(
            Codec.encode(
                new DutyRecord.ScalingFigures(
                    node.agent.epoch() - 1,
                    "old",
                    1,
                    9,
                    Map.of("llm", new ServiceFigures(2, Map.of())))));
    timers.advance(3_000);
    drain("b1");
    timers.advance(3_000);
    assertThat(callTexts().subList(before, calls.size()), contains("c3"));
    assertThat(records().get(records().size() - 1).services().get("llm").floor(), equalTo(6));
  }

  @Test
  void afterASuspensionNothingIsSentBeforeANewIntentWasReadBack() {
    Node node = startSettled();
    manner = Manner.LOSES_ANSWERS;
    drain("a1");
    while (calls.size() < 2) {
      timers.advance(100);
    }
    // The next retry becomes due soon after the suspension, while the lease would still be valid.
    timers.advance(1_500);
    int before = calls.size();
    assertThat(before, equalTo(2));
    timers.suspend(20_000);
    node.ownTimers.nowMillis();
    log.appendBehavior = MemoryLog.Behavior.REJECTS_CALLS;
    timers.advance(10_000);
    assertThat(calls.size(), equalTo(before));
    log.appendBehavior = MemoryLog.Behavior.NORMAL;
    manner = Manner.ACCEPTS;
    timers.advance(10_000);
    assertThat(Set.copyOf(callTexts()), equalTo(Set.of("b3")));
    assertThat(calls.size(), equalTo(before + 1));
  }

  @Test
  void entriesThatLapseWhileTheStoreIsAwayAreNotReplaced() {
    startSettled();
    isStoreDown = true;
    timers.advance(4_000);
    for (String server : List.of("a1", "b1", "c1")) {
      put("servers", server, null);
    }
    timers.advance(4_000);
    isStoreDown = false;
    timers.advance(1_500);
    for (String server : List.of("a1", "b1", "c1")) {
      put("servers", server, "ready");
    }
    timers.advance(10_000);
    assertThat(calls, empty());
  }

  @Test
  void aServerThatWentBeforeAnOutageIsNotReplacedDuringIt() {
    startSettled();
    put("servers", "a1", null);
    isStoreDown = true;
    timers.advance(8_000);
    put("servers", "a1", "ready");
    isStoreDown = false;
    timers.advance(10_000);
    assertThat(calls, empty());
  }

  @Test
  void theFiguresAreWrittenAgainBeforeTheLogForgetsThem() {
    startSettled();
    drain("a1");
    timers.advance(3_000);
    put("servers", "b3", "ready");
    timers.advance(2_000);
    int before = records().size();
    timers.advance(25_000);
    assertThat(records().size(), equalTo(before + 1));
    assertThat(records().get(before).services(), equalTo(records().get(before - 1).services()));
    assertThat(records().get(before).services(), not(equalTo(Map.of())));
  }

  @Test
  void anUnansweredOrderThatItsZoneHasOutgrownIsNotSentAgain() {
    startSettled();
    manner = Manner.LOSES_ANSWERS;
    drain("a1");
    timers.advance(3_000);
    for (String server : List.of("b3", "b4", "b5")) {
      put("servers", server, "ready");
    }
    int before = calls.size();
    timers.advance(30_000);
    assertThat(Set.copyOf(callTexts().subList(before, calls.size())), equalTo(Set.of("b5")));
  }

  @Test
  void anUnansweredOrderBeyondTheMaximumOfItsZoneIsWithdrawn() {
    startSettled();
    manner = Manner.LOSES_ANSWERS;
    drain("a1");
    timers.advance(3_000);
    for (String server : List.of("b3", "b4", "b5", "b6", "b7")) {
      put("servers", server, "ready");
    }
    int before = calls.size();
    timers.advance(30_000);
    assertThat(calls.size(), equalTo(before));
  }

  @Test
  void nothingIsSentWhileTheServersAreNotKnown() {
    startSettled();
    manner = Manner.LOSES_ANSWERS;
    drain("a1");
    timers.advance(1_000);
    isStoreDown = true;
    timers.advance(6_000);
    int before = calls.size();
    timers.advance(20_000);
    assertThat(calls.size(), equalTo(before));
    isStoreDown = false;
    timers.advance(10_000);
    assertThat(calls.size(), greaterThan(before));
  }

  private int lastFloor() {
    return records().get(records().size() - 1).services().get("llm").floor();
  }

  @Test
  void serversThatWereAwayAtTheStartRaiseTheFloor() {
    configure("scaled");
    for (String server : List.of("a2", "b2", "c1", "c2")) {
      put("servers", server, "ready");
    }
    new Node("n", true);
    timers.advance(12_000);
    assertThat(lastFloor(), equalTo(4));
    put("servers", "a1", "ready");
    put("servers", "b1", "ready");
    timers.advance(12_000);
    assertThat(lastFloor(), equalTo(6));
  }

  @Test
  void serversThatWereOrderedDoNotRaiseTheFloor() {
    startSettled();
    drain("a1");
    timers.advance(3_000);
    put("servers", "b3", "ready");
    put("servers", "a1", "ready");
    timers.advance(30_000);
    assertThat(lastFloor(), equalTo(6));
  }

  private long leaseRecords() {
    return log.stream(STREAM).stream()
        .map(bytes -> Codec.decode(bytes, DutyRecord.class))
        .filter(record -> !(record instanceof DutyRecord.ScalingFigures))
        .count();
  }

  @Test
  void theLeaseRestsWhileAllZonesAreAtTheirMaximum() {
    configure("scaled");
    for (String zone : List.of("a", "b", "c")) {
      for (int i = 1; i <= 7; i++) {
        put("servers", zone + i, "ready");
      }
    }
    new Node("n", true);
    new Node("m", true);
    timers.advance(12_000);
    drain("a1");
    timers.advance(1_000);
    long before = leaseRecords();
    timers.advance(10_000);
    assertThat(leaseRecords(), equalTo(before));
    // Only the renewals each 20 s are left.
    timers.advance(50_000);
    assertThat(leaseRecords(), lessThanOrEqualTo(before + 3));
    assertThat(calls, empty());
  }

  @Test
  void theLeaseRestsAndStaysWhereItIsWhileNoZoneHasServers() {
    Node first = startSettled();
    Node second = new Node("m", true);
    timers.advance(5_000);
    exhaustedZones.addAll(List.of("a", "b", "c"));
    drain("a1");
    timers.advance(2_500);
    assertThat(callTexts(), contains("b3", "c3", "a2"));
    long epoch = first.agent.epoch();
    long before = leaseRecords();
    timers.advance(2_000);
    assertThat(leaseRecords(), lessThanOrEqualTo(before + 2));
    timers.advance(60_000);
    assertThat(first.agent.epoch(), equalTo(epoch));
    assertThat(second.agent.isHolder(), equalTo(false));
    exhaustedZones.clear();
    timers.advance(60_000);
    assertThat(second.agent.epoch(), equalTo(epoch));
  }
}
