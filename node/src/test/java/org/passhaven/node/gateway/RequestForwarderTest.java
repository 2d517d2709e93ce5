package org.passhaven.node.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import ch.qos.logback.classic.Level;
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

/** Guards against repeated crashes by one request, and against wrong retries and outcomes. */
class RequestForwarderTest {
  private static final long DEADLINE_MILLIS = 1_500;
  private static final long HEDGE_MILLIS = 150;
  private final ManualTimers timers = new ManualTimers();
  private final MemoryTables tables = new MemoryTables(timers);
  private final List<Sent> sent = new ArrayList<>();
  private final List<ForwardOutcome> outcomes = new ArrayList<>();
  private List<MemberBeat> nodes = List.of();
  private int crashChecks;
  private CrashTracker crashes;
  private final List<String> requestsBegun = new ArrayList<>();
  private RequestForwarder forwarder;

  private record Sent(String server, Call call, UniEmitter<? super Answer> answer) {
    void succeed() {
      answer.complete(new Answer(200, false, "signed", List.of(), new byte[0]));
    }

    void answer(int status) {
      answer.complete(new Answer(status, false, "signed", List.of(), new byte[0]));
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

  private final class Servers extends GatewayFixture.SilentServers {
    @Override
    public Uni<Answer> call(Target target, Call call) {
      return Uni.createFrom()
          .emitter(emitter -> sent.add(new Sent(target.instance(), call, emitter)));
    }

    @Override
    public Uni<Boolean> hasEnded(Target target, long limitMillis) {
      crashChecks++;
      return Uni.createFrom().item(true);
    }
  }

  private static final class Documents extends GatewayFixture.EmptyDocuments {
    @Override
    public ServerEntry parseServer(String key, byte[] document) {
      return Codec.decode(document, ServerEntry.class);
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
            new MemoryLog(timers),
            tables.asService(),
            new Servers(),
            DutyService.NONE,
            new Documents(),
            new GatewayMetrics(new SimpleMeterRegistry()));
    List.of("a", "b", "c").forEach(this::list);
    PlatformDirectory directory = new PlatformDirectory(context, () -> 0);
    directory.start();
    crashes = new CrashTracker(context, directory);
    crashes.start();
    forwarder =
        new RequestForwarder(
            context,
            directory,
            () -> nodes,
            crashes,
            (tenant, sentAt) -> requestsBegun.add(tenant));
  }

  private void submit(String path) {
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
  private String preferred(int place) {
    List<ServerEntry> servers = List.of("a", "b", "c").stream().map(this::entry).toList();
    Member self = new Member("n", "z");
    return ServerSubset.of(self, List.of(), servers).byPreference().get(place).incarnation().id();
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
    return new ServerEntry(ServerIncarnation.of(instance), "s", address, "z", 4, true, Map.of());
  }

  private void list(String instance) {
    tables.add("servers", List.of(new Entry(instance, Codec.encode(entry(instance)))));
  }

  /** Sends a request and crashes each server that runs it until it is no longer retried. */
  private void submitAndCrash(String path) {
    submit(path);
    int sentBefore;
    do {
      sentBefore = sent.size();
      crash(last());
      timers.advance(10);
    } while (sent.size() > sentBefore);
  }

  @Test
  void successfulRequestsCauseNoCrashChecksOrNotes() {
    int puts = tables.puts;
    for (int i = 0; i < 100; i++) {
      submit("/p" + i);
      last().succeed();
    }
    assertThat(outcomes, hasSize(100));
    assertThat(crashes.hasNoSuspects(), is(true));
    assertThat(crashChecks, equalTo(0));
    assertThat(tables.puts, equalTo(puts));
  }

  @Test
  void oneRequestCrashesAtMostTwoServersEvenIfFourAttemptsAreAllowed() {
    submitAndCrash("/p");
    assertThat(sent.stream().map(Sent::server).toList(), contains(preferred(0), preferred(1)));
    assertThat(outcomes.get(0), instanceOf(ForwardOutcome.Unknown.class));
  }

  @Test
  void aHeldBackRequestIsRejectedAtOnceWithTheTimeOfItsTrial() {
    submitAndCrash("/p");
    submit("/p");
    assertThat(sent, hasSize(2));
    ForwardOutcome.NotRun rejected = (ForwardOutcome.NotRun) outcomes.get(1);
    assertThat(rejected.retryAfterMillis(), greaterThan(3_900L));
    submit("/other");
    last().succeed();
    assertThat(outcomes.get(2), instanceOf(ForwardOutcome.Answered.class));
  }

  @Test
  void aSuccessfulTrialClearsARequest() {
    submitAndCrash("/p");
    timers.advance(4_000);
    submit("/p");
    assertThat(sent, hasSize(3));
    last().succeed();
    assertThat(outcomes.get(1), instanceOf(ForwardOutcome.Answered.class));
    assertThat(crashes.hasNoSuspects(), is(true));
  }

  @Test
  void aRequestWhoseTrialCrashesAServerIsHeldBackUntilTheNextTrial() {
    submitAndCrash("/p");
    timers.advance(4_000);
    submitAndCrash("/p");
    assertThat(sent, hasSize(3));
    timers.advance(20_000);
    submit("/p");
    assertThat(sent, hasSize(3));
    timers.advance(20_000);
    submit("/p");
    assertThat(sent, hasSize(4));
  }

  @Test
  void anAttemptAtAFullServerDoesNotConsumeATrial() {
    submitAndCrash("/p");
    timers.advance(4_000);
    submit("/p");
    last().refuse();
    timers.advance(20);
    assertThat("another server is asked", sent, hasSize(4));
    last().succeed();
    assertThat(crashes.hasNoSuspects(), is(true));
  }

  @Test
  void aRequestThatCrashedAServerIsNotHedged() {
    submit("/p");
    last().crash();
    timers.advance(5);
    assertThat(sent, hasSize(2));
    timers.advance(4 * HEDGE_MILLIS);
    assertThat("no hedged attempt is sent", sent, hasSize(2));
    submit("/other");
    timers.advance(HEDGE_MILLIS);
    assertThat("other requests are still hedged", sent, hasSize(4));
  }

  @Test
  void afterASuspensionNoRequestIsSentPastItsDeadline() {
    submit("/p");
    timers.suspend(5_000);
    last().refuse();
    timers.advance(50);
    assertThat(sent, hasSize(1));
    assertThat(outcomes.get(0), instanceOf(ForwardOutcome.NotRun.class));
    submit("/q");
    timers.suspend(500);
    last().refuse();
    timers.advance(50);
    assertThat(sent, hasSize(3));
    assertThat(last().call().deadlineMillis() <= DEADLINE_MILLIS - 500, is(true));
    submit("/r");
    timers.suspend(5_000);
    last().succeed();
    assertThat(
        "a late answer is delivered", outcomes.get(1), instanceOf(ForwardOutcome.Answered.class));
    assertThat(outcomes, hasSize(2));
  }

  @Test
  void aFinishedRequestLeavesNoTimer() {
    int before = timers.pendingTaskCount();
    submit("/p");
    assertThat(timers.pendingTaskCount(), greaterThan(before));
    last().succeed();
    assertThat(timers.pendingTaskCount(), equalTo(before));
  }

  @Test
  void aBodyThatIsHeldBackFromOneServerGoesToAnotherWithoutMarkingTheFirstAsFailed() {
    submit("/p");
    String first = last().server();
    last().fail(PlatformException.Kind.HELD_BACK);
    timers.advance(20);
    assertThat(sent, hasSize(2));
    assertThat(last().server().equals(first), is(false));
    last().succeed();
    assertThat(outcomes.get(0), instanceOf(ForwardOutcome.Answered.class));
    timers.advance(100);
    submit("/q");
    assertThat(last().server(), equalTo(first));
  }

  @Test
  void aBodyThatIsHeldBackFromAllServersWasNotRun() {
    submit("/p");
    for (int i = 0; i < 10 && outcomes.isEmpty(); i++) {
      last().fail(PlatformException.Kind.HELD_BACK);
      timers.advance(20);
    }
    assertThat(outcomes.get(0), instanceOf(ForwardOutcome.NotRun.class));
    assertThat(requestsBegun, hasSize(0));
  }

  @Test
  void aDroppedAnswerHasAnUnknownOutcomeAndIsNotRetried() {
    submit("/p");
    String server = last().server();
    last().fail(PlatformException.Kind.ANSWER_DROPPED);
    timers.advance(4 * HEDGE_MILLIS);
    assertThat(sent, hasSize(1));
    assertThat(outcomes.get(0), instanceOf(ForwardOutcome.Unknown.class));
    assertThat("it counts as run", requestsBegun, hasSize(1));
    assertThat(crashChecks, equalTo(0));
    submit("/q");
    assertThat(last().server(), equalTo(server));
  }

  /** Guards against a server that answers without end: its requests go to other servers. */
  @Test
  void anAnswerThatNoNodeCanHoldIsRetriedElsewhereAndItsServerAvoided() {
    submit("/p");
    String faulty = last().server();
    last().fail(PlatformException.Kind.ANSWER_TOO_LARGE);
    timers.advance(5);
    assertThat(sent, hasSize(2));
    assertThat(last().server().equals(faulty), is(false));
    assertThat("the server runs", crashChecks, equalTo(0));
    last().succeed();
    assertThat(outcomes.get(0), instanceOf(ForwardOutcome.Answered.class));
    assertThat("it counts as run once", requestsBegun, hasSize(1));
    for (int i = 0; i < 6; i++) {
      submit("/q" + i);
      assertThat(last().server().equals(faulty), is(false));
      last().succeed();
    }
  }

  /** Guards against a success that can't be told from the failure of another attempt. */
  @Test
  void theLineOfAnAnswerNamesItsAttemptAmongThoseSent() {
    try (CapturedLog log = CapturedLog.of(RequestForwarder.class, Level.INFO)) {
      submit("/p");
      last().succeed();
      assertThat("a first attempt", log.lines("request: answered"), hasSize(0));
      submit("/p");
      last().answer(500);
      timers.advance(5);
      last().succeed();
      Map<String, String> line = log.lines("request: answered").get(0);
      assertThat(line.get("attempt") + " of " + line.get("attempts"), equalTo("2 of 2"));
      assertThat(line.get("hedge") + line.get("inProgress"), equalTo("false0"));
      assertThat(line.get("server"), containsString(last().server()));
    }
  }

  @Test
  void theLineOfAnAnswerTellsWhetherAnotherAttemptWasInProgress() {
    try (CapturedLog log = CapturedLog.of(RequestForwarder.class, Level.INFO)) {
      submit("/p");
      timers.advance(HEDGE_MILLIS);
      sent.get(0).succeed();
      submit("/q");
      timers.advance(HEDGE_MILLIS);
      last().succeed();
      List<Map<String, String>> lines = log.lines("request: answered");
      assertThat(
          lines.stream()
              .map(line -> line.get("attempt") + line.get("hedge") + line.get("inProgress"))
              .toList(),
          contains("1false1", "2true1"));
      assertThat(Long.parseLong(lines.get(0).get("attemptMillis")), greaterThan(HEDGE_MILLIS - 1));
    }
  }

  @Test
  void onlyAnswersOf500AreCountedAsServerErrors() {
    submit("/p");
    for (int status : new int[] {504, 502, 500, 503}) {
      last().answer(status);
      timers.advance(5);
    }
    assertThat(sent, hasSize(4));
    ForwardOutcome.Answered answered = (ForwardOutcome.Answered) outcomes.get(0);
    assertThat(answered.answer().status(), equalTo(503));
    assertThat(answered.serverErrors(), equalTo(1));
  }

  @Test
  void twoAnswersOf500ToAHedgedRequestAreTwoServerErrors() {
    submit("/p");
    timers.advance(HEDGE_MILLIS);
    assertThat(sent, hasSize(2));
    sent.get(0).answer(500);
    sent.get(1).answer(500);
    timers.advance(DEADLINE_MILLIS);
    assertThat(((ForwardOutcome.Unknown) outcomes.get(0)).serverErrors(), equalTo(2));
  }
}
