package org.passhaven.node.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.passhaven.core.member.HeartbeatTable;
import org.passhaven.core.route.RouteTable;
import org.passhaven.node.ManualTimers;
import org.passhaven.node.MemoryLog;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.job.JobRecord;
import org.passhaven.protocol.job.JobSubmission;
import org.passhaven.protocol.job.ResultText;
import org.passhaven.protocol.job.TextLocation;
import org.passhaven.spi.DutyService;

/** Guards against answers to callers of batch jobs that the log does not back. */
class JobServiceTest {
  private final ManualTimers timers = new ManualTimers();
  private final MemoryLog log = new MemoryLog(timers);
  private final GatewayContext context = context(262_144, 2_097_152);
  private final JobLog jobLog = new JobLog(context);
  private final JobService service = new JobService(context, jobLog, () -> RouteTable.EMPTY);

  private GatewayContext context(int maxRecordBytes, int maxAppendBytes) {
    return new GatewayContext(
        GatewayFixture.settings(2, maxRecordBytes, maxAppendBytes),
        1,
        timers,
        bound -> 0,
        log,
        new GatewayFixture.SilentTables(),
        new GatewayFixture.SilentServers(),
        DutyService.NONE,
        new GatewayFixture.EmptyDocuments(),
        new GatewayMetrics(new SimpleMeterRegistry()));
  }

  private static JobSubmission submission(String id, byte[] body) {
    JobItem item = new JobItem("x", "/p/x", List.of(), body, "g", 0, null);
    return new JobSubmission(id, "h", "/p/", "", "m", "m", 0, 0, 1, List.of(item));
  }

  private static JobSubmission submissionOf(String tenant, String id) {
    JobSubmission job = submission(id, new byte[1]);
    return new JobSubmission(id, "h", "/p/", tenant, "m", "m", 0, 0, 1, job.items());
  }

  private List<JobOutcome> ask(Uni<JobOutcome> pending) {
    List<JobOutcome> outcomes = new ArrayList<>();
    pending.subscribe().with(outcomes::add);
    return outcomes;
  }

  private void appendResult(String item) {
    appendResult(item, "t");
  }

  private void appendResult(String item, String text) {
    List<byte[]> texts = log.stream(jobLog.textStreamOf("m"));
    byte[] encoded = Codec.encode(new ResultText("j", item, text));
    texts.add(encoded);
    TextLocation location = new TextLocation(texts.size() - 1, encoded.length);
    JobRecord record = new JobRecord.ItemFinished("j", item, true, location, List.of(1L), "s");
    log.stream(jobLog.streamOf("m")).add(Codec.encode(record));
  }

  private void startLog() {
    jobLog.start(new HeartbeatTable(1_500));
    timers.advance(10);
  }

  @Test
  void aJobIsAcceptedOnceItIsDurable() {
    startLog();
    List<JobOutcome> outcomes = ask(service.submit(submission("j", new byte[3]), 2_000));
    assertThat(outcomes, contains(new JobOutcome.Done()));
    timers.advance(100);
    assertThat(jobLog.table().get("j").isOpen(), is(true));
  }

  @Test
  void aLostAppendAnswerIsRecoveredByReadingTheJobBack() {
    startLog();
    log.appendBehavior = MemoryLog.Behavior.LOSES_RESPONSES;
    List<JobOutcome> outcomes = ask(service.submit(submission("j", new byte[3]), 2_000));
    timers.advance(100);
    assertThat(outcomes, contains(new JobOutcome.Done()));
  }

  @Test
  void aSubmissionIsRefusedOnlyIfNoAppendCanHaveSucceeded() {
    startLog();
    log.appendBehavior = MemoryLog.Behavior.REJECTS_CALLS;
    List<JobOutcome> outcomes = ask(service.submit(submission("j", new byte[3]), 1_000));
    timers.advance(1_100);
    assertThat(outcomes.get(0), instanceOf(JobOutcome.Refused.class));
    assertThat(log.appendCalls, greaterThan(2));
  }

  @Test
  void anAppendInFlightIsNeverReportedAsRefused() {
    startLog();
    log.appendBehavior = MemoryLog.Behavior.NEVER_RESPONDS;
    List<JobOutcome> outcomes = ask(service.submit(submission("j", new byte[3]), 500));
    timers.advance(600);
    assertThat(outcomes.get(0), instanceOf(JobOutcome.Unknown.class));
  }

  @Test
  void aLargeJobIsSplitAndReassembled() {
    GatewayContext small = context(2_048, 8_192);
    JobLog smallLog = new JobLog(small);
    JobService smallService = new JobService(small, smallLog, () -> RouteTable.EMPTY);
    smallLog.start(new HeartbeatTable(1_500));
    timers.advance(10);
    byte[] body = new byte[30_000];
    body[29_999] = 7;
    assertThat(
        ask(smallService.submit(submission("j", body), 2_000)), contains(new JobOutcome.Done()));
    timers.advance(200);
    assertThat(log.stream(smallLog.streamOf("m")).size(), greaterThan(20));
    assertThat(smallLog.table().get("j").item("x").body(), equalTo(body));
  }

  @Test
  void aLostLargeSubmissionIsRetriedInSmallerAppends() {
    GatewayContext small = context(2_048, 65_536);
    JobLog smallLog = new JobLog(small);
    JobService smallService = new JobService(small, smallLog, () -> RouteTable.EMPTY);
    smallLog.start(new HeartbeatTable(1_500));
    timers.advance(10);
    log.appendBehavior = MemoryLog.Behavior.NEVER_RESPONDS;
    List<JobOutcome> outcomes = ask(smallService.submit(submission("j", new byte[50_000]), 10_000));
    timers.advance(5_000);
    int calls = log.appendCalls;
    log.appendBehavior = MemoryLog.Behavior.NORMAL;
    timers.advance(2_000);
    assertThat(outcomes, contains(new JobOutcome.Done()));
    assertThat(log.appendCalls - calls, greaterThan(8));
    timers.advance(200);
    assertThat(smallLog.table().get("j").item("x").body().length, is(50_000));
  }

  @Test
  void aReaderWaitsForAResult() {
    startLog();
    ask(service.submit(submission("j", new byte[3]), 2_000));
    timers.advance(100);
    List<JobOutcome> outcomes = ask(service.read("", "j", 0, 1_000));
    timers.advance(200);
    assertThat(outcomes, hasSize(0));
    appendResult("x");
    timers.advance(100);
    JobOutcome.Results results = (JobOutcome.Results) outcomes.get(0);
    assertThat(results.next(), is(1));
    assertThat(results.total(), is(1));
  }

  @Test
  void aReaderGetsAnEmptyAnswerWhenTheWaitTimesOut() {
    startLog();
    ask(service.submit(submission("j", new byte[3]), 2_000));
    timers.advance(100);
    List<JobOutcome> outcomes = ask(service.read("", "j", 0, 1_000));
    timers.advance(1_100);
    assertThat(((JobOutcome.Results) outcomes.get(0)).results(), hasSize(0));
  }

  @Test
  void theLogIsRefreshedBeforeAnEmptyAnswer() {
    startLog();
    ask(service.submit(submission("j", new byte[3]), 2_000));
    timers.advance(100);
    log.hangReads = true;
    timers.advance(2_300);
    appendResult("x");
    log.hangReads = false;
    // The pending read was sent while the log did not answer, and never completes.
    List<JobOutcome> outcomes = ask(service.read("", "j", 0, 0));
    timers.advance(10);
    assertThat(((JobOutcome.Results) outcomes.get(0)).next(), is(1));
  }

  @Test
  void aResultAfterTheJobsEndInTheSameReadIsReturned() {
    startLog();
    ask(service.submit(submission("j", new byte[3]), 2_000));
    timers.advance(100);
    List<JobOutcome> outcomes = ask(service.read("", "j", 0, 1_000));
    timers.advance(10);
    log.stream(jobLog.streamOf("m")).add(Codec.encode((JobRecord) new JobRecord.JobEnded("j")));
    appendResult("x");
    timers.advance(200);
    assertThat(((JobOutcome.Results) outcomes.get(0)).next(), is(1));
  }

  @Test
  void theTextOfAnotherItemIsNeverReturned() {
    startLog();
    ask(service.submit(submission("j", new byte[3]), 2_000));
    log.stream(jobLog.textStreamOf("m")).add(Codec.encode(new ResultText("j", "y", "another")));
    JobRecord record =
        new JobRecord.ItemFinished("j", "x", true, new TextLocation(0, 30), List.of(1L), "s");
    log.stream(jobLog.streamOf("m")).add(Codec.encode(record));
    timers.advance(200);
    assertThat(ask(service.read("", "j", 0, 0)).get(0), instanceOf(JobOutcome.Refused.class));
  }

  @Test
  void aCallerIsAnsweredInTimeWhenTheTextReadHangs() {
    startLog();
    ask(service.submit(submission("j", new byte[3]), 2_000));
    timers.advance(100);
    log.hangReads = true;
    appendResult("x");
    timers.advance(50);
    List<JobOutcome> outcomes = ask(service.read("", "j", 0, 0));
    timers.advance(1_300);
    assertThat(outcomes.get(0), instanceOf(JobOutcome.Refused.class));
  }

  @Test
  void aNodeThatCannotReadTheLogDoesNotReportAnEmptyResult() {
    startLog();
    ask(service.submit(submission("j", new byte[3]), 2_000));
    timers.advance(100);
    log.readBehavior = MemoryLog.Behavior.REJECTS_CALLS;
    assertThat(ask(service.read("", "j", 0, 0)).get(0), instanceOf(JobOutcome.Refused.class));
    log.readBehavior = MemoryLog.Behavior.NORMAL;
    timers.advance(1_000);
    appendResult("x");
    timers.advance(1_000);
    log.readBehavior = MemoryLog.Behavior.REJECTS_CALLS;
    assertThat(ask(service.read("", "j", 0, 0)).get(0), instanceOf(JobOutcome.Results.class));
  }

  @Test
  void anUnknownJobIsNotFoundOnlyIfTheLogWasReadToItsEnd() {
    startLog();
    assertThat(ask(service.read("", "k", 0, 0)), contains(new JobOutcome.NotFound()));
    log.readBehavior = MemoryLog.Behavior.REJECTS_CALLS;
    assertThat(ask(service.read("", "k", 0, 0)).get(0), instanceOf(JobOutcome.Refused.class));
  }

  @Test
  void aJobKnownToOtherNodesIsFoundByARefresh() {
    startLog();
    JobRecord part =
        new JobRecord.JobPart("j", 5, 0, 1, Codec.encode(submission("j", new byte[3])));
    log.stream(jobLog.streamOf("m")).add(Codec.encode(part));
    assertThat(ask(service.body("", "j", "x")).get(0), instanceOf(JobOutcome.Body.class));
  }

  @Test
  void aJobOfAnotherTenantIsReportedAsNotFound() {
    startLog();
    List<JobOutcome> first = ask(service.submit(submissionOf("one", "t"), 800));
    timers.advance(100);
    assertThat(first, contains(new JobOutcome.Done()));
    List<JobOutcome> seen = new ArrayList<>();
    seen.addAll(ask(service.read("two", "t", 0, 0)));
    seen.addAll(ask(service.body("two", "t", "x")));
    seen.addAll(ask(service.end("two", "t", 800)));
    seen.addAll(ask(service.read("", "t", 0, 0)));
    timers.advance(100);
    assertThat(seen, hasSize(4));
    assertThat(seen, everyItem(equalTo(new JobOutcome.NotFound())));
    assertThat(ask(service.read("one", "t", 0, 0)).get(0), instanceOf(JobOutcome.Results.class));
    assertThat(jobLog.table().get("t").isEnded(), is(false));
  }

  @Test
  void aSubmissionWithTheIdOfAnotherTenantsJobIsRejected() {
    startLog();
    ask(service.submit(submissionOf("one", "t"), 800));
    timers.advance(100);
    List<JobOutcome> second = ask(service.submit(submissionOf("two", "t"), 800));
    List<JobOutcome> again = ask(service.submit(submissionOf("one", "t"), 800));
    timers.advance(100);
    assertThat(second, contains(new JobOutcome.IdInUse()));
    assertThat(again, contains(new JobOutcome.Done()));
  }

  @Test
  void anEndIsDurableBeforeItIsAcknowledged() {
    startLog();
    ask(service.submit(submission("j", new byte[3]), 2_000));
    timers.advance(100);
    log.appendBehavior = MemoryLog.Behavior.NEVER_RESPONDS;
    List<JobOutcome> outcomes = ask(service.end("", "j", 800));
    timers.advance(500);
    assertThat(outcomes, hasSize(0));
    timers.advance(400);
    assertThat(outcomes.get(0), instanceOf(JobOutcome.Unknown.class));
    log.appendBehavior = MemoryLog.Behavior.NORMAL;
    assertThat(ask(service.end("", "j", 800)), contains(new JobOutcome.Done()));
    timers.advance(100);
    assertThat(jobLog.table().get("j").isEnded(), is(true));
    assertThat(ask(service.end("", "j", 800)), contains(new JobOutcome.Done()));
  }
}
