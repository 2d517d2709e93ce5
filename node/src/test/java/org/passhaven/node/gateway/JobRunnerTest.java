package org.passhaven.node.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.MultiEmitter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
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
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.job.JobRecord;
import org.passhaven.protocol.job.JobSubmission;
import org.passhaven.protocol.job.ScoreCall;
import org.passhaven.protocol.job.TextRecord;
import org.passhaven.spi.BackEndException;
import org.passhaven.spi.BackEndService;
import org.passhaven.spi.DutyService;

/** Guards against losing partial texts or runs when an owner drains, stops or restarts. */
class JobRunnerTest {
  private static final long END_MILLIS = 1_000_000;
  private static final String MODEL = "m";
  private final ManualTimers timers = new ManualTimers();
  private final MemoryLog log = new MemoryLog(timers);
  private final Servers servers = new Servers();
  private final GatewayContext context =
      new GatewayContext(
          GatewayFixture.settings(1, 262_144, 2_097_152),
          1,
          timers,
          bound -> 0,
          log,
          new Tables(),
          servers,
          DutyService.NONE,
          new Documents(),
          new GatewayMetrics(new SimpleMeterRegistry()));
  private final Gateway gateway = new Gateway(context);

  /** Starts a node that runs one item with one generated event. */
  @BeforeEach
  void runOneItem() {
    gateway.start();
    timers.advance(2_000);
    JobItem item = new JobItem("x", "/p/x", List.of(), new byte[0], "g", 0, null);
    JobSubmission submission =
        new JobSubmission("j", "h", "/p/", "", MODEL, MODEL, 0, 1, 1, List.of(item));
    gateway.jobs().submit(submission, 2_000).subscribe().with(outcome -> {});
    timers.advance(500);
    assertThat(servers.running, hasSize(1));
    servers.running.get(0).emit(new BackEndService.Progress.Began(1));
    servers.running.get(0).emit(new BackEndService.Progress.Event(1, 0, "one"));
  }

  private List<TextRecord> textRecords() {
    return log.streams().stream()
        .filter(stream -> stream.startsWith("texts"))
        .flatMap(stream -> log.stream(stream).stream())
        .map(bytes -> Codec.decode(bytes, TextRecord.class))
        .toList();
  }

  private boolean isTextSaved() {
    return !textRecords().isEmpty();
  }

  @Test
  void aDrainingOwnerContinuesUntilItsRunIsTakenOver() {
    gateway.drain(END_MILLIS).subscribe().with(left -> {});
    assertThat(isTextSaved(), is(true));
    timers.advance(400);
    assertThat(servers.cancelled, equalTo(0));
    assertThat(gateway.isDrained(), is(false));
    JobRecord claim = new JobRecord.RunClaimed(MODEL, 1_001, "other", 1, 1_000);
    log.stream("jobs.0").add(Codec.encode(claim));
    timers.advance(200);
    assertThat(servers.cancelled, equalTo(1));
    assertThat(gateway.isDrained(), is(true));
  }

  private Gateway startSuccessor() {
    Gateway successor =
        new Gateway(
            new GatewayContext(
                GatewayFixture.settings(1, 262_144, 2_097_152),
                2,
                timers,
                bound -> 0,
                log,
                new Tables(),
                servers,
                DutyService.NONE,
                new Documents(),
                new GatewayMetrics(new SimpleMeterRegistry())));
    successor.start();
    return successor;
  }

  @Test
  void aRestartedOwnerContinuesAfterTheLastSavedEvent() {
    timers.advance(300);
    assertThat(textRecords().get(0).parts().get(0).events(), contains("one"));
    startSuccessor();
    timers.advance(1_000);
    assertThat(servers.lastEvents, contains(0L, 1L));
  }

  @Test
  void aRestartedOwnerDoesNotWaitForHeartbeats() {
    startSuccessor();
    timers.advance(500);
    assertThat(servers.lastEvents, contains(0L, 0L));
  }

  @Test
  void aTextLongerThanARecordIsSplitBetweenEvents() {
    String long1 = "a".repeat(60_000);
    servers.running.get(0).emit(new BackEndService.Progress.Event(2, 0, long1));
    servers.running.get(0).emit(new BackEndService.Progress.Event(3, 0, long1));
    timers.advance(300);
    assertThat(
        textRecords().stream().map(record -> record.parts().get(0).afterEvent()).toList(),
        contains(0L, 2L));
    startSuccessor();
    timers.advance(1_000);
    assertThat(servers.lastEvents, contains(0L, 3L));
  }

  @Test
  void aFailedSaveOfATextIsRetried() {
    log.appendBehavior = MemoryLog.Behavior.REJECTS_CALLS;
    timers.advance(300);
    assertThat(isTextSaved(), is(false));
    log.appendBehavior = MemoryLog.Behavior.NORMAL;
    timers.advance(300);
    assertThat(textRecords().get(0).parts().get(0).events(), contains("one"));
  }

  @Test
  void aDrainingOwnerClaimsNoRuns() {
    gateway.drain(END_MILLIS).subscribe().with(left -> {});
    int before = log.stream("jobs.0").size();
    timers.advance(3_000);
    assertThat(log.stream("jobs.0"), hasSize(before));
  }

  private void appendClaimOfDeadNode(String run) {
    long readTo = log.stream("jobs.0").size();
    JobRecord claim = new JobRecord.RunClaimed(run, readTo + 1, "gone", 1, readTo);
    log.stream("jobs.0").add(Codec.encode(claim));
  }

  private long ownClaimCount(String run) {
    return log.stream("jobs.0").stream()
        .map(bytes -> Codec.decode(bytes, JobRecord.class))
        .filter(record -> record instanceof JobRecord.RunClaimed claim && claim.run().equals(run))
        .filter(record -> ((JobRecord.RunClaimed) record).node().equals("n"))
        .count();
  }

  @Test
  void aRunWithoutOpenJobsIsClaimedOnlyWhileItsJobsAreRetained() {
    JobRecord ended = new JobRecord.JobEnded("j");
    log.stream("jobs.0").add(Codec.encode(ended));
    appendClaimOfDeadNode(MODEL);
    appendClaimOfDeadNode("over");
    timers.advance(3_000);
    assertThat(ownClaimCount(MODEL), equalTo(2L));
    assertThat(ownClaimCount("over"), equalTo(0L));
    timers.advance(165_000);
    appendClaimOfDeadNode(MODEL);
    long before = ownClaimCount(MODEL);
    timers.advance(3_000);
    assertThat(ownClaimCount(MODEL), equalTo(before));
  }

  @Test
  void aGenerationThatIsStoppedWhileItStartsIsCancelled() {
    servers.running.get(0).fail(new BackEndException(BackEndException.Kind.CUT, "reset"));
    servers.firstProgress = new BackEndService.Progress.Event(1, 0, "without a version");
    timers.advance(2_000);
    assertThat(servers.running.size(), greaterThan(1));
    assertThat(servers.cancelled, equalTo(servers.running.size()));
  }

  @Test
  void theEndOfADrainStopsRunsThatNoNodeTookOver() {
    gateway.drain(END_MILLIS).subscribe().with(left -> {});
    timers.advance(400);
    List<Boolean> ended = new ArrayList<>();
    gateway.close().subscribe().with(done -> ended.add(true));
    timers.advance(10);
    assertThat(servers.cancelled, equalTo(1));
    assertThat(ended, hasSize(1));
    timers.advance(1_000);
    assertThat(servers.running, hasSize(1));
  }

  /** Completes the text of a second job's only item, whose score is then asked for. */
  private void completeAScoredText() {
    ScoreCall score = new ScoreCall("score of y", "h", "/s/y", new byte[0]);
    JobItem item = new JobItem("y", "/p/y", List.of(), new byte[0], "g", 0, score);
    JobSubmission submission =
        new JobSubmission("k", "h", "/p/", "", MODEL, MODEL, 1, 1, 1, List.of(item));
    gateway.jobs().submit(submission, 2_000).subscribe().with(outcome -> {});
    timers.advance(500);
    MultiEmitter<? super BackEndService.Progress> generation = servers.running.get(1);
    generation.emit(new BackEndService.Progress.Began(1));
    generation.emit(new BackEndService.Progress.Event(1, 0, "one"));
    generation.complete();
    timers.advance(20);
    assertThat(servers.calls, hasSize(1));
  }

  @Test
  void theScoreOfAnEndedJobIsNoLongerAskedFor() {
    completeAScoredText();
    gateway.jobs().end("", "k", 2_000).subscribe().with(outcome -> {});
    timers.advance(100);
    assertThat(servers.cancelledCalls, equalTo(1));
    timers.advance(3_000);
    assertThat(servers.calls, hasSize(1));
  }

  @Test
  void theScoreOfAJobThatAnotherNodeRunsIsNotTakenHere() {
    completeAScoredText();
    JobRecord claim = new JobRecord.RunClaimed(MODEL, 1_001, "other", 1, 1_000);
    log.stream("jobs.0").add(Codec.encode(claim));
    timers.advance(200);
    assertThat(servers.cancelledCalls, equalTo(1));
  }

  @Test
  void anEndedJobSendsNoneOfItsWaitingScores() {
    int count = 30;
    List<JobItem> items = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ScoreCall score = new ScoreCall("score " + i, "h", "/s/y", new byte[0]);
      items.add(new JobItem("y" + i, "/p/y", List.of(), new byte[0], "g", 0, score));
    }
    JobSubmission submission = new JobSubmission("k", "h", "/p/", "", MODEL, MODEL, 1, 1, 1, items);
    gateway.jobs().submit(submission, 2_000).subscribe().with(outcome -> {});
    for (int completed = 1; completed <= count; completed++) {
      for (int i = 0; i < 20 && servers.running.size() <= completed; i++) {
        timers.advance(20);
      }
      MultiEmitter<? super BackEndService.Progress> generation = servers.running.get(completed);
      generation.emit(new BackEndService.Progress.Began(1));
      generation.emit(new BackEndService.Progress.Event(1, 0, "one"));
      generation.complete();
    }
    timers.advance(20);
    int sent = servers.calls.size();
    assertThat(sent < count, is(true));
    gateway.jobs().end("", "k", 2_000).subscribe().with(outcome -> {});
    timers.advance(100);
    assertThat(servers.cancelledCalls, equalTo(sent));
    assertThat(servers.calls, hasSize(sent));
  }

  private static final class Servers extends GatewayFixture.SilentServers {
    final List<Call> calls = new ArrayList<>();
    int cancelledCalls;
    final List<MultiEmitter<? super Progress>> running = new ArrayList<>();
    final List<Long> lastEvents = new ArrayList<>();
    int cancelled;

    /** Sent before a generation's subscription is complete; null for none. */
    Progress firstProgress;

    @Override
    public Uni<Answer> call(Target target, Call call) {
      return Uni.createFrom()
          .emitter(
              emitter -> {
                calls.add(call);
                emitter.onTermination(() -> cancelledCalls++);
              });
    }

    @Override
    public Multi<Progress> generate(Target target, Generation generation) {
      return Multi.createFrom()
          .emitter(
              emitter -> {
                running.add(emitter);
                lastEvents.add(generation.lastEvent());
                emitter.onTermination(() -> cancelled++);
                if (firstProgress != null) {
                  emitter.emit(firstProgress);
                }
              });
    }
  }

  private static final class Tables extends GatewayFixture.SilentTables {
    @Override
    public Uni<Page> list(String table, String afterKey) {
      return Uni.createFrom()
          .item(
              new Page(
                  List.of(new Entry(table, table.getBytes(StandardCharsets.UTF_8))), false, 1));
    }
  }

  private static final class Documents extends GatewayFixture.EmptyDocuments {
    @Override
    public boolean isConfiguration(String key) {
      return true;
    }

    @Override
    public RouteTable parseConfiguration(byte[] document) {
      return new RouteTable(
          1,
          List.of(route("/p/", Route.Kind.JOBS, 0), route("/s/", Route.Kind.REPEATABLE, 200)),
          RequestLimits.DEFAULT,
          TenantTable.NONE);
    }

    private static Route route(String prefix, Route.Kind kind, long targetMillis) {
      return new Route(
          prefix,
          "h",
          prefix,
          List.of(new ServiceShare("llm", 1)),
          kind,
          0,
          targetMillis,
          3,
          false,
          false,
          0,
          0,
          true);
    }

    @Override
    public ServerEntry parseServer(String key, byte[] document) {
      return new ServerEntry(
          ServerIncarnation.of(key), "llm", "s:1", "z", 8, true, Map.of(MODEL, 1L));
    }
  }
}
