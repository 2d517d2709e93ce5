package org.passhaven.node.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.in;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.backend.ServerSubset;
import org.passhaven.core.placement.Member;
import org.passhaven.core.route.Route;
import org.passhaven.core.route.ServiceShare;
import org.passhaven.node.ClockJumpDetectingTimers;
import org.passhaven.node.ManualTimers;
import org.passhaven.node.MemoryLog;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.member.MemberBeat;
import org.passhaven.spi.BackEndService.Answer;
import org.passhaven.spi.BackEndService.Call;
import org.passhaven.spi.DutyService;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.TableService.Entry;

/**
 * Guards against requests outside a node's subset while its servers are usable, and against
 * failures while they are not.
 */
class SubsetForwardTest {
  /** A node that chooses late in each round, so that its subset depends on other nodes. */
  private static final String SELF = "n3";

  private static final int NODES = 80;
  private static final int SERVERS = 12;
  private static final int SLOTS_PER_SERVER = 6;
  private static final long DEADLINE_MILLIS = 1_500;
  private static final long HEDGE_MILLIS = 150;
  private final ManualTimers timers = new ManualTimers();
  private final MemoryTables tables = new MemoryTables(timers);
  private final List<Sent> sent = new ArrayList<>();
  private final List<ForwardOutcome> outcomes = new ArrayList<>();
  private final GatewayMetrics metrics = new GatewayMetrics(new SimpleMeterRegistry());
  private List<MemberBeat> nodes =
      Stream.concat(Stream.of(SELF), IntStream.range(0, NODES).mapToObj(i -> "n" + i))
          .distinct()
          .map(SubsetForwardTest::heartbeat)
          .toList();
  private RequestForwarder forwarder;
  private ServerSubset subset;

  private record Sent(String server, boolean isNewConnection, UniEmitter<? super Answer> answer) {
    void succeed() {
      answer.complete(new Answer(200, false, "signed", List.of(), new byte[0]));
    }

    void refuse() {
      answer.complete(new Answer(503, true, "", List.of(), new byte[0]));
    }

    void failUnreachable() {
      answer.fail(new PlatformException(PlatformException.Kind.NOT_RUN, "refused"));
    }
  }

  private final class Servers extends GatewayFixture.SilentServers {
    @Override
    public Uni<Answer> call(Target target, Call call) {
      return Uni.createFrom()
          .emitter(emitter -> sent.add(new Sent(target.instance(), false, emitter)));
    }

    @Override
    public Uni<Answer> callOnNewConnection(Target target, Call call) {
      return Uni.createFrom()
          .emitter(emitter -> sent.add(new Sent(target.instance(), true, emitter)));
    }
  }

  private static final class Documents extends GatewayFixture.EmptyDocuments {
    @Override
    public ServerEntry parseServer(String key, byte[] document) {
      return Codec.decode(document, ServerEntry.class);
    }
  }

  private static MemberBeat heartbeat(String node) {
    return new MemberBeat(node, node + ":1", "z", 1, true, 0, 500, 0, 0);
  }

  private static ServerEntry entry(int i, boolean isReady) {
    String id = "s" + i;
    return new ServerEntry(
        ServerIncarnation.of(id), "s", id + ":1", "z" + i % 3, SLOTS_PER_SERVER, isReady, Map.of());
  }

  @BeforeEach
  void start() {
    GatewayContext context =
        new GatewayContext(
            GatewayFixture.settings(SELF, 1, 262_144, 2_097_152),
            1,
            new ClockJumpDetectingTimers(timers),
            bound -> 0,
            new MemoryLog(timers),
            tables.asService(),
            new Servers(),
            DutyService.NONE,
            new Documents(),
            metrics);
    IntStream.range(0, SERVERS).forEach(i -> list(entry(i, true)));
    PlatformDirectory directory = new PlatformDirectory(context, () -> 0);
    directory.start();
    CrashTracker crashes = new CrashTracker(context, directory);
    crashes.start();
    forwarder =
        new RequestForwarder(context, directory, () -> nodes, crashes, (tenant, sentAt) -> {});
    timers.advance(10);
    subset = subset();
  }

  private void list(ServerEntry entry) {
    tables.add("servers", List.of(new Entry(entry.incarnation().id(), Codec.encode(entry))));
  }

  private ServerSubset subset() {
    return ServerSubset.of(
        new Member(SELF, "z"),
        nodes.stream().map(heartbeat -> new Member(heartbeat.node(), heartbeat.zone())).toList(),
        IntStream.range(0, SERVERS).mapToObj(i -> entry(i, true)).toList());
  }

  private String preferred(int place) {
    return subset.byPreference().get(place).incarnation().id();
  }

  private Set<String> inSubset() {
    return subset.byPreference().subList(0, subset.size()).stream()
        .map(server -> server.incarnation().id())
        .collect(Collectors.toSet());
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
    forwarder.forward(route, call).subscribe().with(outcomes::add);
    timers.advance(5);
  }

  private Sent last() {
    return sent.get(sent.size() - 1);
  }

  private Set<String> usedServers() {
    return sent.stream().map(Sent::server).collect(Collectors.toSet());
  }

  @Test
  void aNodeWithFewRequestsUsesItsFirstChoiceOnly() {
    for (int i = 0; i < 50; i++) {
      submit();
      last().succeed();
    }
    assertThat(usedServers(), contains(preferred(0)));
    assertThat(metrics.subsetsWidened.count(), is(0.0));
  }

  @Test
  void theFirstChoiceStaysWhileItIsInTheSubsetAndOnlyNodesLeave() {
    submit();
    last().succeed();
    String first = preferred(0);
    List<MemberBeat> all = nodes;
    int others = 0;
    for (int left = NODES; left > NODES / 2; left--) {
      nodes = all.subList(0, left);
      subset = subset();
      if (inSubset().contains(first)) {
        others += preferred(0).equals(first) ? 0 : 1;
        submit();
        last().succeed();
      }
    }
    assertThat("fleets that give another first choice", others, greaterThan(0));
    assertThat(usedServers(), contains(first));
  }

  @Test
  void theFirstChoiceStaysWhenAServerLoadsNewWeights() {
    submit();
    last().succeed();
    String first = preferred(0);
    List<MemberBeat> all = nodes;
    int left = NODES;
    while (preferred(0).equals(first) || !inSubset().contains(first)) {
      left--;
      nodes = all.subList(0, left);
      subset = subset();
    }
    submit();
    last().succeed();
    ServerEntry updated = entry(SERVERS - 1, true).withMinVersions(Map.of("model", 2L));
    list(updated);
    timers.advance(10);
    submit();
    last().succeed();
    assertThat(usedServers(), contains(first));
  }

  @Test
  void fewConcurrentRequestsStayInTheSubset() {
    IntStream.range(0, 4).forEach(i -> submit());
    assertThat(usedServers(), everyItem(is(in(inSubset()))));
  }

  @Test
  void aNodeWithManyConcurrentRequestsUsesAsManyServersAsItNeeds() {
    for (int burst = 0; burst < 6; burst++) {
      int from = sent.size();
      IntStream.range(0, 12).forEach(i -> submit());
      List.copyOf(sent.subList(from, sent.size())).forEach(Sent::succeed);
      timers.advance(1_000);
    }
    Map<String, Long> perServer =
        sent.stream().collect(Collectors.groupingBy(Sent::server, Collectors.counting()));
    assertThat(perServer.size(), greaterThan(7));
    assertThat(perServer.values(), everyItem(is(lessThanOrEqualTo(12L))));
  }

  @Test
  void theSubsetShrinksAfterABurst() {
    IntStream.range(0, 12).forEach(i -> submit());
    List.copyOf(sent).forEach(Sent::succeed);
    timers.advance(11_000);
    sent.clear();
    for (int i = 0; i < 20; i++) {
      submit();
      last().succeed();
    }
    assertThat(usedServers(), contains(preferred(0)));
  }

  @Test
  void aDrainingOrRemovedServerIsReplacedInTheSubsetAtOnce() {
    int first = Integer.parseInt(preferred(0).substring(1));
    list(entry(first, false));
    timers.advance(10);
    submit();
    last().succeed();
    assertThat(usedServers(), not(hasItem(preferred(0))));
    String second = last().server();
    tables.add("servers", List.of(new Entry(second, null)));
    timers.advance(10);
    submit();
    last().succeed();
    assertThat(outcomes, hasSize(2));
    assertThat(new HashSet<>(List.of(preferred(0), second, last().server())), hasSize(3));
  }

  @Test
  void aRequestThatTheWholeSubsetRefusesGoesToAnotherServerWithinItsAttempts() {
    submit();
    for (int refused = 0; refused < 3; refused++) {
      last().refuse();
      timers.advance(15);
    }
    assertThat(sent, hasSize(4));
    assertThat(sent.subList(0, 3).stream().map(Sent::server).toList(), everyItem(in(inSubset())));
    assertThat(last().server(), not(in(inSubset())));
    last().succeed();
    assertThat(outcomes.get(0), instanceOf(ForwardOutcome.Answered.class));
    assertThat(metrics.subsetsWidened.count(), is(1.0));
  }

  @Test
  void aNodeWhoseSubsetIsUnreachableUsesOtherServersAndReturnsLater() {
    submit();
    for (int i = 0; i < 3; i++) {
      last().failUnreachable();
      timers.advance(15);
    }
    last().succeed();
    submit();
    assertThat("servers that just failed are not tried again", sent, hasSize(5));
    assertThat(last().server(), not(in(inSubset())));
    last().succeed();
    timers.advance(5_000);
    submit();
    assertThat(last().server(), equalTo(preferred(0)));
  }

  @Test
  void aHedgedAttemptLeavesTheSubsetIfTheRestOfItIsNotUsable() {
    submit();
    last().refuse();
    timers.advance(15);
    last().failUnreachable();
    timers.advance(15);
    assertThat(last().server(), is(in(inSubset())));
    timers.advance(HEDGE_MILLIS);
    assertThat(last().isNewConnection(), is(true));
    assertThat(last().server(), not(in(inSubset())));
    last().succeed();
    assertThat(outcomes, hasSize(1));
  }

  @Test
  void aNodeThatKnowsNoOtherNodesUsesAllServers() {
    nodes = List.of();
    IntStream.range(0, SERVERS * SLOTS_PER_SERVER).forEach(i -> submit());
    assertThat(usedServers(), hasSize(SERVERS));
  }

  @Test
  void aRequestIsStillSentWhenAllServersHaveFailed() {
    for (int i = 0; i < 3; i++) {
      submit();
      IntStream.range(0, 6)
          .forEach(
              refused -> {
                last().failUnreachable();
                timers.advance(15);
              });
    }
    int before = sent.size();
    submit();
    assertThat(sent, hasSize(before + 1));
  }
}
