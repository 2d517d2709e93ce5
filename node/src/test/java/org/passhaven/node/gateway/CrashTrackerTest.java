package org.passhaven.node.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.crash.CrashTable.RequestDecision;
import org.passhaven.node.ManualTimers;
import org.passhaven.node.MemoryLog;
import org.passhaven.protocol.Codec;
import org.passhaven.spi.DutyService;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.TableService;

/** Guards against requests that crash servers being missed, or harmless ones being suspected. */
class CrashTrackerTest {
  private static final String FINGERPRINT = "f";
  private static final long ANSWER_MILLIS = 2;
  private static final long FIRST_TRIAL_MILLIS = 4_100;
  private final ManualTimers timers = new ManualTimers();
  private final MemoryTables store = new MemoryTables(timers);
  private final Map<String, Boolean> hasEnded = new HashMap<>();
  private int checks;

  private static final class Documents extends GatewayFixture.EmptyDocuments {
    @Override
    public ServerEntry parseServer(String key, byte[] document) {
      return Codec.decode(document, ServerEntry.class);
    }
  }

  private final class Servers extends GatewayFixture.SilentServers {
    @Override
    public Uni<Boolean> hasEnded(Target target, long limitMillis) {
      checks++;
      Boolean known = hasEnded.get(target.instance());
      return Uni.createFrom()
          .emitter(emitter -> timers.after(ANSWER_MILLIS, () -> answer(known, emitter)));
    }

    private void answer(Boolean known, UniEmitter<? super Boolean> emitter) {
      if (known == null) {
        emitter.fail(new PlatformException(PlatformException.Kind.OUTCOME_UNKNOWN, "no answer"));
      } else {
        emitter.complete(known);
      }
    }
  }

  private CrashTracker node(String name) {
    GatewayContext context =
        new GatewayContext(
            GatewayFixture.settings(name, 1, 262_144, 2_097_152),
            1,
            timers,
            bound -> 0,
            new MemoryLog(timers),
            store.asService(),
            new Servers(),
            DutyService.NONE,
            new Documents(),
            new GatewayMetrics(new SimpleMeterRegistry()));
    PlatformDirectory directory = new PlatformDirectory(context, () -> 0);
    directory.start();
    CrashTracker crashes = new CrashTracker(context, directory);
    crashes.start();
    return crashes;
  }

  private static ServerEntry server(String name, boolean ready) {
    return new ServerEntry(ServerIncarnation.of(name), "s", name + ":1", "z", 4, ready, Map.of());
  }

  private void addEntry(ServerEntry server) {
    store.add(
        "servers",
        List.of(new TableService.Entry(server.incarnation().id(), Codec.encode(server))));
  }

  private void removeEntry(String server) {
    store.add("servers", List.of(new TableService.Entry(server, null)));
  }

  private void addServers() {
    for (String name : List.of("a", "b", "c")) {
      addEntry(server(name, true));
    }
  }

  private static void interrupt(CrashTracker node, String fingerprint, String server) {
    node.onInterrupted(fingerprint, server(server, true)).subscribe().with(ignored -> {});
  }

  private void crashServers(CrashTracker node, String... servers) {
    for (String server : servers) {
      hasEnded.put(server, true);
      interrupt(node, FINGERPRINT, server);
    }
    timers.advance(10);
  }

  @Test
  void crashesSeenByOneNodeReachAllNodesAndLaterStarts() {
    addServers();
    CrashTracker first = node("n");
    CrashTracker second = node("m");
    crashServers(first, "a");
    crashServers(second, "b");
    CrashTracker third = node("o");
    for (CrashTracker node : List.of(first, second, third)) {
      assertThat(node.decide(FINGERPRINT), instanceOf(RequestDecision.Quarantined.class));
    }
  }

  @Test
  void aSuccessfulRunClearsTheRequestOnAllNodes() {
    addServers();
    CrashTracker first = node("n");
    CrashTracker second = node("m");
    crashServers(first, "a");
    first.onSucceeded(FINGERPRINT);
    timers.advance(10);
    assertThat(first.hasNoSuspects(), is(true));
    assertThat(second.hasNoSuspects(), is(true));
    assertThat(store.currentValues("crashes").keySet(), hasSize(0));
  }

  private static ServerEntry serverStartedAt(String name, long bornMillis) {
    return new ServerEntry(
        new ServerIncarnation(name, bornMillis), "s", name + ":1", "z", 4, true, Map.of());
  }

  private static void interrupt(CrashTracker node, ServerEntry server) {
    node.onInterrupted(FINGERPRINT, server).subscribe().with(ignored -> {});
  }

  @Test
  void aRestartedServerWithTheSameIdCountsAsCrashedAlthoughItAnswers() {
    addEntry(serverStartedAt("a", 100));
    addEntry(serverStartedAt("b", 100));
    CrashTracker node = node("n");
    hasEnded.put("a", false);
    hasEnded.put("b", false);
    interrupt(node, serverStartedAt("a", 100));
    interrupt(node, serverStartedAt("b", 100));
    timers.advance(10);
    assertThat(node.hasNoSuspects(), is(true));
    addEntry(serverStartedAt("a", 3_100));
    addEntry(serverStartedAt("b", 3_200));
    timers.advance(10);
    assertThat(node.decide(FINGERPRINT), instanceOf(RequestDecision.Quarantined.class));
  }

  @Test
  void aServerThatAnswersBeforeItsEntryIsRemovedIsNotACrash() {
    addEntry(serverStartedAt("a", 100));
    CrashTracker node = node("n");
    hasEnded.put("a", false);
    interrupt(node, serverStartedAt("a", 100));
    timers.advance(10);
    removeEntry("a");
    timers.advance(10);
    assertThat(node.hasNoSuspects(), is(true));
  }

  @Test
  void twoStartsOfOneServerCountAsTwoCrashes() {
    addEntry(serverStartedAt("a", 300));
    CrashTracker node = node("n");
    interrupt(node, serverStartedAt("a", 100));
    interrupt(node, serverStartedAt("a", 200));
    timers.advance(10);
    assertThat(node.decide(FINGERPRINT), instanceOf(RequestDecision.Quarantined.class));
  }

  @Test
  void anInterruptionAtAServerThatShutsDownAsPlannedIsNotACrash() {
    addEntry(server("a", false));
    CrashTracker node = node("n");
    removeEntry("b");
    crashServers(node, "a", "b");
    assertThat(node.hasNoSuspects(), is(true));
    assertThat(checks, equalTo(0));
  }

  @Test
  void anInterruptionAtAServerThatKeepsRunningIsNotACrash() {
    addServers();
    CrashTracker node = node("n");
    hasEnded.put("a", false);
    hasEnded.put("b", false);
    interrupt(node, FINGERPRINT, "a");
    interrupt(node, FINGERPRINT, "b");
    timers.advance(10_000);
    removeEntry("a");
    timers.advance(10);
    assertThat(node.hasNoSuspects(), is(true));
  }

  @Test
  void aNodePartitionedFromRunningServersSuspectsNoRequest() {
    addServers();
    CrashTracker node = node("n");
    for (int i = 0; i < 50; i++) {
      interrupt(node, "f" + i, "a");
      interrupt(node, "f" + i, "b");
    }
    timers.advance(60_000);
    removeEntry("a");
    timers.advance(10);
    assertThat(node.hasNoSuspects(), is(true));
    assertThat(store.puts, equalTo(0));
  }

  @Test
  void anUnreachableServerCountsAsCrashedByEntryRemovalOrALaterStart() {
    addServers();
    CrashTracker node = node("n");
    interrupt(node, FINGERPRINT, "a");
    interrupt(node, FINGERPRINT, "b");
    timers.advance(1_000);
    assertThat(node.hasNoSuspects(), is(true));
    removeEntry("a");
    addEntry(new ServerEntry(ServerIncarnation.of("b2"), "s", "b:1", "z", 4, true, Map.of()));
    timers.advance(10);
    assertThat(node.decide(FINGERPRINT), instanceOf(RequestDecision.Quarantined.class));
  }

  @Test
  void duringAStoreOutageANodeUsesItsOwnObservationsAndSharesThemLater() {
    addServers();
    CrashTracker first = node("n");
    CrashTracker second = node("m");
    store.isDown = true;
    crashServers(first, "a", "b");
    assertThat(first.decide(FINGERPRINT), instanceOf(RequestDecision.Quarantined.class));
    assertThat(second.hasNoSuspects(), is(true));
    store.isDown = false;
    timers.advance(400);
    assertThat(second.decide(FINGERPRINT), instanceOf(RequestDecision.Quarantined.class));
  }

  @Test
  void onlyOneNodeTakesATrial() {
    addServers();
    List<CrashTracker> nodes = List.of(node("n"), node("m"), node("o"));
    crashServers(nodes.get(0), "a", "b");
    timers.advance(FIRST_TRIAL_MILLIS);
    nodes.forEach(node -> node.claimTrial(FINGERPRINT, 1).subscribe().with(ignored -> {}));
    timers.advance(50);
    long taken = nodes.stream().filter(node -> node.takeTrial(FINGERPRINT)).count();
    assertThat(taken, equalTo(1L));
    nodes.forEach(
        node ->
            assertThat(node.decide(FINGERPRINT), instanceOf(RequestDecision.Quarantined.class)));
  }

  @Test
  void noTrialIsTakenWhileTheStoreIsUnavailable() {
    addServers();
    CrashTracker node = node("n");
    crashServers(node, "a", "b");
    timers.advance(FIRST_TRIAL_MILLIS);
    store.isDown = true;
    boolean[] isCompleted = new boolean[1];
    node.claimTrial(FINGERPRINT, 1).subscribe().with(ignored -> isCompleted[0] = true);
    timers.advance(500);
    assertThat(isCompleted[0], is(true));
    assertThat(node.takeTrial(FINGERPRINT), is(false));
  }

  @Test
  void manyInterruptionsAtOneServerShareOneProbeAndOneWrite() {
    addServers();
    CrashTracker node = node("n");
    hasEnded.put("a", true);
    for (int i = 0; i < 64; i++) {
      interrupt(node, "f" + i, "a");
    }
    timers.advance(10);
    assertThat(checks, equalTo(1));
    assertThat(store.puts, equalTo(1));
    assertThat(store.currentValues("crashes").keySet(), hasSize(64));
  }

  @Test
  void nodesAndStoreKeepAtMostAThousandSuspects() {
    addServers();
    CrashTracker node = node("n");
    crashServers(node, "a", "b");
    hasEnded.put("c", true);
    for (int i = 0; i < 20_000; i++) {
      interrupt(node, "f" + i, "c");
      if (i % 500 == 0) {
        timers.advance(20);
      }
    }
    timers.advance(30_000);
    assertThat(store.currentValues("crashes").size(), equalTo(1_000 + 1));
    assertThat(node.decide(FINGERPRINT), instanceOf(RequestDecision.TrialDue.class));
    timers.advance(1_300_000);
    assertThat(node.hasNoSuspects(), is(true));
    assertThat(store.currentValues("crashes").size(), equalTo(0));
  }
}
