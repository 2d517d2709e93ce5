package org.passhaven.node.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerStart;
import org.passhaven.core.backend.ServerSubset;
import org.passhaven.core.placement.Member;
import org.passhaven.core.route.Route;
import org.passhaven.core.route.ServiceShare;
import org.passhaven.node.ManualTimers;
import org.passhaven.node.MemoryLog;
import org.passhaven.node.WatchedTimers;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.member.MemberBeat;
import org.passhaven.spi.BackEndService.Answer;
import org.passhaven.spi.BackEndService.Call;
import org.passhaven.spi.DutyService;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.TableService.Entry;

/** Guards against repeated crashes by one request, and against wrong retries and outcomes. */
class RequestForwarderTest {
  private static final long DEADLINE_MILLIS = 1_500;
  private static final long HEDGE_MILLIS = 150;
  private final ManualTimers timers = new ManualTimers();
  private final MemoryTables tables = new MemoryTables(timers);
  private final List<Sent> sent = new ArrayList<>();
  private final List<ForwardOutcome> outcomes = new ArrayList<>();
  private List<MemberBeat> nodes = List.of();
  private int checks;
  private CrashLog crashes;
  private final List<String> began = new ArrayList<>();
  private RequestForwarder forwarder;

  private record Sent(String server, Call call, UniEmitter<? super Answer> answer) {
    void succeed() {
      answer.complete(new Answer(200, false, "signed", List.of(), new byte[0]));
    }

    void refuse() {
      answer.complete(new Answer(503, true, "", List.of(), new byte[0]));
    }

    void crash() {
      fail(PlatformException.Kind.OUTCOME_UNKNOWN);
    }

    void fail(PlatformException.Kind kind) {
      answer.fail(new PlatformException(kind, "reset"));
    }
  }

  private final class Servers extends GatewayFixture.NoServers {
    @Override
    public Uni<Answer> call(Target target, Call call) {
      return Uni.createFrom()
          .emitter(emitter -> sent.add(new Sent(target.instance(), call, emitter)));
    }

    @Override
    public Uni<Boolean> hasEnded(Target target, long limitMillis) {
      checks++;
      return Uni.createFrom().item(true);
    }
  }

  private static final class Documents extends GatewayFixture.NoDocuments {
    @Override
    public ServerEntry server(String key, byte[] document) {
      return Codec.decode(document, ServerEntry.class);
    }
  }

  @BeforeEach
  void start() {
    GatewayContext context =
        new GatewayContext(
            GatewayFixture.settings(1, 262_144, 2_097_152),
            1,
            new WatchedTimers(timers),
            bound -> 0,
            new MemoryLog(timers),
            tables.asSeen(),
            new Servers(),
            DutyService.NONE,
            new Documents(),
            new GatewayMetrics(new SimpleMeterRegistry()));
    List.of("a", "b", "c").forEach(this::list);
    Directory directory = new Directory(context, () -> 0);
    directory.start();
    crashes = new CrashLog(context, directory);
    crashes.start();
    forwarder =
        new RequestForwarder(
            context, directory, () -> nodes, crashes, (tenant, sentAt) -> began.add(tenant));
  }

  private void ask(String path) {
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
    Call call = new Call("id", "", "GET", path, "h", List.of(), new byte[0], DEADLINE_MILLIS);
    forwarder.forward(route, call).subscribe().with(outcomes::add);
    timers.advance(5);
  }

  /** Returns a server by its place in this node's order of preference. */
  private String ordered(int place) {
    List<ServerEntry> servers = List.of("a", "b", "c").stream().map(this::entry).toList();
    Member self = new Member("n", "z");
    return ServerSubset.of(self, List.of(), servers).byPreference().get(place).start().id();
  }

  private Sent last() {
    return sent.get(sent.size() - 1);
  }

  /** Crashes a server; its next incarnation is listed a second later. */
  private void crash(Sent run) {
    run.crash();
    timers.after(
        1_000,
        () -> {
          tables.add("servers", List.of(new Entry(run.server(), null)));
          list(run.server() + "'");
        });
  }

  private ServerEntry entry(String instance) {
    String address = instance.charAt(0) + ":1";
    return new ServerEntry(ServerStart.of(instance), "s", address, "z", 4, true, Map.of());
  }

  private void list(String instance) {
    tables.add("servers", List.of(new Entry(instance, Codec.encode(entry(instance)))));
  }

  /** Sends a request and crashes each server that runs it until it is no longer retried. */
  private void askAndCrash(String path) {
    ask(path);
    int seen;
    do {
      seen = sent.size();
      crash(last());
      timers.advance(10);
    } while (sent.size() > seen);
  }

  @Test
  void successfulRequestsCauseNoCrashChecksOrNotes() {
    int puts = tables.puts;
    for (int i = 0; i < 100; i++) {
      ask("/p" + i);
      last().succeed();
    }
    assertThat(outcomes, hasSize(100));
    assertThat(crashes.isQuiet(), is(true));
    assertThat(checks, equalTo(0));
    assertThat(tables.puts, equalTo(puts));
  }

  @Test
  void oneRequestCrashesAtMostTwoServersEvenIfFourAttemptsAreAllowed() {
    askAndCrash("/p");
    assertThat(sent.stream().map(Sent::server).toList(), contains(ordered(0), ordered(1)));
    assertThat(outcomes.get(0), instanceOf(ForwardOutcome.Unknown.class));
  }

  @Test
  void aHeldBackRequestIsRejectedAtOnceWithTheTimeOfItsTrial() {
    askAndCrash("/p");
    ask("/p");
    assertThat(sent, hasSize(2));
    ForwardOutcome.NotRun refused = (ForwardOutcome.NotRun) outcomes.get(1);
    assertThat(refused.retryAfterMillis(), greaterThan(3_900L));
    ask("/other");
    last().succeed();
    assertThat(outcomes.get(2), instanceOf(ForwardOutcome.Answered.class));
  }

  @Test
  void aSuccessfulTrialClearsARequest() {
    askAndCrash("/p");
    timers.advance(4_000);
    ask("/p");
    assertThat(sent, hasSize(3));
    last().succeed();
    assertThat(outcomes.get(1), instanceOf(ForwardOutcome.Answered.class));
    assertThat(crashes.isQuiet(), is(true));
  }

  @Test
  void aRequestWhoseTrialCrashesAServerIsHeldBackUntilTheNextTrial() {
    askAndCrash("/p");
    timers.advance(4_000);
    askAndCrash("/p");
    assertThat(sent, hasSize(3));
    timers.advance(20_000);
    ask("/p");
    assertThat(sent, hasSize(3));
    timers.advance(20_000);
    ask("/p");
    assertThat(sent, hasSize(4));
  }

  @Test
  void anAttemptAtAFullServerDoesNotConsumeATrial() {
    askAndCrash("/p");
    timers.advance(4_000);
    ask("/p");
    last().refuse();
    timers.advance(20);
    assertThat("another server is asked", sent, hasSize(4));
    last().succeed();
    assertThat(crashes.isQuiet(), is(true));
  }

  @Test
  void aRequestThatCrashedAServerIsNotHedged() {
    ask("/p");
    last().crash();
    timers.advance(5);
    assertThat(sent, hasSize(2));
    timers.advance(4 * HEDGE_MILLIS);
    assertThat("no hedged attempt is sent", sent, hasSize(2));
    ask("/other");
    timers.advance(HEDGE_MILLIS);
    assertThat("other requests are still hedged", sent, hasSize(4));
  }

  @Test
  void afterASuspensionNoRequestIsSentPastItsDeadline() {
    ask("/p");
    timers.suspend(5_000);
    last().refuse();
    timers.advance(50);
    assertThat(sent, hasSize(1));
    assertThat(outcomes.get(0), instanceOf(ForwardOutcome.NotRun.class));
    ask("/q");
    timers.suspend(500);
    last().refuse();
    timers.advance(50);
    assertThat(sent, hasSize(3));
    assertThat(last().call().deadlineMillis() <= DEADLINE_MILLIS - 500, is(true));
    ask("/r");
    timers.suspend(5_000);
    last().succeed();
    assertThat(
        "a late answer is delivered", outcomes.get(1), instanceOf(ForwardOutcome.Answered.class));
    assertThat(outcomes, hasSize(2));
  }

  @Test
  void aFinishedRequestLeavesNoTimer() {
    int before = timers.pending();
    ask("/p");
    assertThat(timers.pending(), greaterThan(before));
    last().succeed();
    assertThat(timers.pending(), equalTo(before));
  }

  @Test
  void aBodyThatIsHeldBackFromOneServerGoesToAnotherWithoutMarkingTheFirstAsFailed() {
    ask("/p");
    String first = last().server();
    last().fail(PlatformException.Kind.HELD_BACK);
    timers.advance(20);
    assertThat(sent, hasSize(2));
    assertThat(last().server().equals(first), is(false));
    last().succeed();
    assertThat(outcomes.get(0), instanceOf(ForwardOutcome.Answered.class));
    timers.advance(100);
    ask("/q");
    assertThat(last().server(), equalTo(first));
  }

  @Test
  void aBodyThatIsHeldBackFromAllServersWasNotRun() {
    ask("/p");
    for (int i = 0; i < 10 && outcomes.isEmpty(); i++) {
      last().fail(PlatformException.Kind.HELD_BACK);
      timers.advance(20);
    }
    assertThat(outcomes.get(0), instanceOf(ForwardOutcome.NotRun.class));
    assertThat(began, hasSize(0));
  }

  @Test
  void aDroppedAnswerHasAnUnknownOutcomeAndIsNotRetried() {
    ask("/p");
    String server = last().server();
    last().fail(PlatformException.Kind.ANSWER_DROPPED);
    timers.advance(4 * HEDGE_MILLIS);
    assertThat(sent, hasSize(1));
    assertThat(outcomes.get(0), instanceOf(ForwardOutcome.Unknown.class));
    assertThat("it counts as run", began, hasSize(1));
    assertThat(checks, equalTo(0));
    ask("/q");
    assertThat(last().server(), equalTo(server));
  }
}
