package org.passhaven.node.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.Cancellable;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.passhaven.core.admission.AdmissionRequest.Source;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.route.RequestLimits;
import org.passhaven.core.route.Route;
import org.passhaven.core.route.RouteTable;
import org.passhaven.core.route.ServiceShare;
import org.passhaven.core.tenant.Tenant;
import org.passhaven.core.tenant.TenantTable;
import org.passhaven.node.ManualTimers;
import org.passhaven.node.MemoryLog;
import org.passhaven.protocol.Codec;
import org.passhaven.spi.BackEndService.Answer;
import org.passhaven.spi.BackEndService.Call;
import org.passhaven.spi.DutyService;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.TableService.Entry;

/** Guards against lost, overtaken or falsely reported requests when bursts exceed the servers. */
class RequestAdmissionTest {
  private static final long DEADLINE_MILLIS = 1_500;
  private static final long STOP_MILLIS = 6_000;
  private static final int BURST = 48;
  private static final int LIMIT = 21;
  private static final int RESERVED_FOR_CALLERS = 9;
  private final ManualTimers timers = new ManualTimers();
  private final MemoryTables tables = new MemoryTables(timers);
  private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
  private final Map<String, UniEmitter<? super Answer>> attemptsInProgress = new HashMap<>();
  private final List<String> sent = new ArrayList<>();
  private final Map<String, ForwardOutcome> outcomes = new HashMap<>();
  private final Map<String, Cancellable> subscriptions = new HashMap<>();
  private boolean isRefusing;
  private RequestForwarder forwarder;

  private final class Servers extends GatewayFixture.SilentServers {
    @Override
    public Uni<Answer> call(Target target, Call call) {
      sent.add(call.id());
      if (isRefusing) {
        return Uni.createFrom()
            .failure(new PlatformException(PlatformException.Kind.NOT_RUN, "refused"));
      }
      return Uni.createFrom().emitter(emitter -> attemptsInProgress.put(call.id(), emitter));
    }

    @Override
    public Uni<Boolean> hasEnded(Target target, long limitMillis) {
      return Uni.createFrom().item(true);
    }
  }

  /** A configuration in which one tenant has its own priority. */
  private static final class Documents extends GatewayFixture.EmptyDocuments {
    @Override
    public boolean isConfiguration(String key) {
      return true;
    }

    @Override
    public RouteTable parseConfiguration(byte[] document) {
      TenantTable tenants =
          new TenantTable(
              Map.of(
                  "key-1", new Tenant("first", OptionalInt.of(0)),
                  "key-2", new Tenant("other", OptionalInt.empty())));
      return new RouteTable(1, List.of(), RequestLimits.DEFAULT, tenants);
    }

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
            timers,
            bound -> 0,
            new MemoryLog(timers),
            tables.asService(),
            new Servers(),
            DutyService.NONE,
            new Documents(),
            new GatewayMetrics(meters));
    tables.add("operator", List.of(new Entry("configuration", new byte[0])));
    List.of("a", "b", "c").forEach(this::list);
    PlatformDirectory directory = new PlatformDirectory(context, () -> 0);
    directory.start();
    CrashTracker crashes = new CrashTracker(context, directory);
    crashes.start();
    forwarder = new RequestForwarder(context, directory, List::of, crashes, (tenant, sentAt) -> {});
  }

  private void list(String instance) {
    ServerEntry entry =
        new ServerEntry(
            ServerIncarnation.of(instance), "s", instance + ":1", "z", 6, true, Map.of());
    tables.add("servers", List.of(new Entry(instance, Codec.encode(entry))));
  }

  private void remove(String... instances) {
    tables.add("servers", Stream.of(instances).map(id -> new Entry(id, null)).toList());
    timers.advance(5);
  }

  private void submit(String id, Source source) {
    submit(id, source, "");
  }

  private void submit(String id, Source source, String tenant) {
    Route route =
        new Route(
            source.name(),
            "h",
            "/",
            List.of(new ServiceShare("s", 1)),
            Route.Kind.AT_MOST_ONCE,
            DEADLINE_MILLIS,
            250,
            4,
            false,
            false,
            2,
            0,
            true);
    Call call = new Call(id, tenant, "GET", "/" + id, "h", List.of(), new byte[0], DEADLINE_MILLIS);
    subscriptions.put(
        id,
        forwarder
            .forward(route, call, source)
            .subscribe()
            .with(outcome -> outcomes.put(id, outcome)));
  }

  private void submitBurst() {
    for (int i = 0; i < BURST; i++) {
      submit("score" + i, Source.SCORING);
    }
    timers.advance(5);
  }

  private void answer(String id) {
    attemptsInProgress
        .remove(id)
        .complete(new Answer(200, false, "signed", List.of(), new byte[0]));
  }

  private double gauge(String name) {
    return meters.get("passhaven.gateway.admission." + name).tag("service", "s").gauge().value();
  }

  @Test
  void aBurstIsLimitedAndEachCompletionAdmitsTheNextRequest() {
    submitBurst();
    assertThat(sent, hasSize(LIMIT));
    assertThat(gauge("waiting"), equalTo((double) BURST - LIMIT));
    assertThat(gauge("limit"), equalTo((double) LIMIT));
    for (int i = 0; i < BURST; i++) {
      answer("score" + i);
    }
    assertThat(sent, hasSize(BURST));
    assertThat(outcomes.values(), everyItem(instanceOf(ForwardOutcome.Answered.class)));
    assertThat(outcomes.size(), equalTo(BURST));
    assertThat(gauge("waiting"), equalTo(0.0));
  }

  @Test
  void aCallerIsAdmittedBeforeAQueuedBurst() {
    submitBurst();
    submit("caller", Source.CALLER);
    assertThat(sent.contains("caller"), is(true));
  }

  @Test
  void whenAllServersAreGoneQueuedRequestsAreRejectedAndSentOnesContinue() {
    submitBurst();
    remove("a", "b", "c");
    assertThat(outcomes.size(), equalTo(BURST - LIMIT));
    assertThat(outcomes.values(), everyItem(instanceOf(ForwardOutcome.NotRun.class)));
    sent.forEach(id -> assertThat(outcomes.containsKey(id), is(false)));
    sent.forEach(this::answer);
    assertThat(outcomes.size(), equalTo(BURST));
    sent.forEach(id -> assertThat(outcomes.get(id), instanceOf(ForwardOutcome.Answered.class)));
  }

  @Test
  void whenSomeServersAreGoneTheOthersServeQueuedRequests() {
    submitBurst();
    remove("a", "b");
    assertThat(outcomes.size(), equalTo(0));
    while (!attemptsInProgress.isEmpty()) {
      answer(sent.stream().filter(attemptsInProgress::containsKey).findFirst().orElseThrow());
    }
    assertThat(outcomes.size(), equalTo(BURST));
    assertThat(outcomes.values(), everyItem(instanceOf(ForwardOutcome.Answered.class)));
  }

  @Test
  void aCancelledQueuedRequestIsNeverSent() {
    submitBurst();
    for (int i = LIMIT; i < BURST; i++) {
      subscriptions.get("score" + i).cancel();
    }
    for (int i = 0; i < LIMIT; i++) {
      answer("score" + i);
    }
    assertThat(sent, hasSize(LIMIT));
    assertThat(forwarder.inProgress(), equalTo(0));
  }

  @Test
  void cancellingARequestInFlightAdmitsTheNextOne() {
    submitBurst();
    subscriptions.get("score0").cancel();
    assertThat(sent, hasSize(LIMIT + 1));
  }

  @Test
  void ifServersDoNotAnswerCallersAreRejectedAfterAThirdOfTheirDeadline() {
    submitBurst();
    for (int i = 0; i <= RESERVED_FOR_CALLERS; i++) {
      submit("caller" + i, Source.CALLER);
    }
    assertThat(sent, hasSize(LIMIT + RESERVED_FOR_CALLERS));
    timers.advance(DEADLINE_MILLIS / 3 + 20);
    ForwardOutcome.NotRun rejected =
        (ForwardOutcome.NotRun) outcomes.get("caller" + RESERVED_FOR_CALLERS);
    assertThat(rejected.retryAfterMillis(), both(greaterThanOrEqualTo(100L)).and(lessThan(500L)));
    assertThat(outcomes.size(), equalTo(1));
  }

  @Test
  void aStoppingNodeServesQueuedRequestsAndRejectsTheRestAtItsEnd() {
    submitBurst();
    forwarder.admission().drain(timers.nowMillis() + STOP_MILLIS);
    assertThat(outcomes.values(), empty());
    answer("score0");
    assertThat("queued requests are still served", sent, hasSize(LIMIT + 1));
    forwarder.admission().close();
    assertThat(outcomes.size(), equalTo(BURST - LIMIT));
    sent.stream()
        .skip(1)
        .forEach(id -> assertThat("it was sent", outcomes.containsKey(id), is(false)));
  }

  @Test
  void aStoppingNodeRejectsQueuedRequestsWithinASecond() {
    submitBurst();
    forwarder.admission().drain(timers.nowMillis() + STOP_MILLIS);
    timers.advance(1_020);
    assertThat(outcomes.size(), equalTo(BURST - LIMIT));
    assertThat(outcomes.values(), everyItem(instanceOf(ForwardOutcome.NotRun.class)));
  }

  /** Guards against requests in progress that are cut when the process ends. */
  @Test
  void aNodeThatEndsAnswersTheRequestsThatAreStillInProgress() {
    submit("caller", Source.CALLER);
    forwarder.admission().drain(timers.nowMillis() + STOP_MILLIS);
    timers.advance(100);
    assertThat(outcomes.keySet(), empty());
    forwarder.failAll("the node ends");
    assertThat(outcomes.get("caller"), instanceOf(ForwardOutcome.Unknown.class));
    assertThat(forwarder.inProgress(), is(0));
  }

  @Test
  void aTenantsPriorityOverridesTheRoutes() {
    submitBurst();
    for (int i = 0; i < RESERVED_FOR_CALLERS; i++) {
      submit("before" + i, Source.CALLER, "other");
    }
    submit("other", Source.CALLER, "other");
    submit("first", Source.CALLER, "first");
    answer("before0");
    assertThat(sent.get(sent.size() - 1), equalTo("first"));
    answer("first");
    assertThat(sent.get(sent.size() - 1), equalTo("other"));
  }

  /** Random arrivals and departures of callers, and refusals, crashes and restarts of servers. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void noRequestThatAServerMayHaveRunIsReportedAsNotRun(long seed) {
    Random random = new Random(seed);
    Set<String> mayHaveRun = new HashSet<>();
    for (int i = 0; i < 3_000; i++) {
      submit("r" + i, random.nextInt(3) == 0 ? Source.CALLER : Source.SCORING);
      if (random.nextInt(4) == 0) {
        subscriptions.get("r" + random.nextInt(i + 1)).cancel();
      }
      if (random.nextInt(200) == 0) {
        remove("a", "b", "c");
        List.of("a", "b").forEach(this::list);
      }
      timers.advance(random.nextInt(4));
      for (String id : List.copyOf(attemptsInProgress.keySet())) {
        if (random.nextInt(20) == 0) {
          end(id, random.nextInt(5), mayHaveRun);
        }
      }
    }
    timers.advance(2 * DEADLINE_MILLIS);
    mayHaveRun.addAll(attemptsInProgress.keySet());
    assertThat(forwarder.inProgress(), equalTo(0));
    assertThat(gauge("waiting"), equalTo(0.0));
    List<String> reportedAsNotRun =
        outcomes.entrySet().stream()
            .filter(each -> each.getValue() instanceof ForwardOutcome.NotRun)
            .map(Map.Entry::getKey)
            .toList();
    assertThat(reportedAsNotRun.size(), greaterThan(100));
    assertThat(reportedAsNotRun.stream().filter(mayHaveRun::contains).toList(), empty());
  }

  private void end(String id, int how, Set<String> mayHaveRun) {
    UniEmitter<? super Answer> attempt = attemptsInProgress.remove(id);
    if (how == 0) {
      attempt.complete(new Answer(503, true, "", List.of(), new byte[0]));
      return;
    }
    mayHaveRun.add(id);
    if (how == 1) {
      attempt.fail(new PlatformException(PlatformException.Kind.OUTCOME_UNKNOWN, "reset"));
    } else {
      attempt.complete(new Answer(200, false, "signed", List.of(), new byte[0]));
    }
  }

  /** Refused connections end attempts while they are being sent. */
  @Test
  void whileConnectionsAreRefusedEveryRequestEndsAsNotRun() {
    isRefusing = true;
    submitBurst();
    timers.advance(DEADLINE_MILLIS);
    assertThat(outcomes.size(), equalTo(BURST));
    assertThat(outcomes.values(), everyItem(instanceOf(ForwardOutcome.NotRun.class)));
    assertThat(gauge("waiting"), equalTo(0.0));
    assertThat(forwarder.inProgress(), equalTo(0));
  }
}
