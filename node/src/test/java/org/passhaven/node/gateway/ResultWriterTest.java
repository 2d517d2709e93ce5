package org.passhaven.node.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThan;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.passhaven.core.job.Job;
import org.passhaven.core.job.JobTable;
import org.passhaven.core.member.HeartbeatTable;
import org.passhaven.node.ManualTimers;
import org.passhaven.node.MemoryLog;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.job.ItemResult;
import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.job.JobRecord;
import org.passhaven.protocol.job.JobSubmission;
import org.passhaven.spi.DutyService;

/** Guards against results without their texts and against lost results of failed appends. */
class ResultWriterTest {
  private static final int ITEMS = 40;
  private static final int MAX_RECORD_BYTES = 262_144;
  private final ManualTimers timers = new ManualTimers();
  private final MemoryLog log = new MemoryLog(timers);
  private final GatewayContext context =
      new GatewayContext(
          GatewayFixture.settings(1, MAX_RECORD_BYTES, 2_097_152),
          1,
          timers,
          bound -> 0,
          log,
          new GatewayFixture.SilentTables(),
          new GatewayFixture.SilentServers(),
          DutyService.NONE,
          new GatewayFixture.EmptyDocuments(),
          new GatewayMetrics(new SimpleMeterRegistry()));
  private final JobLog jobLog = new JobLog(context);
  private final ResultWriter writer = new ResultWriter(context, jobLog);

  @BeforeEach
  void acceptJob() {
    jobLog.addListener(
        (record, effect) -> {
          if (effect == JobTable.Effect.RESULT_RECORDED) {
            writer.onResultRecorded(job(), ((JobRecord.ItemFinished) record).item());
          }
        });
    List<JobItem> items = new ArrayList<>();
    for (int i = 0; i < ITEMS; i++) {
      items.add(new JobItem("x" + i, "/p/x", List.of(), new byte[0], "g", 0, null));
    }
    JobSubmission submission = new JobSubmission("j", "h", "/p/", "", "m", "m", 0, 0, 1, items);
    JobRecord part = new JobRecord.JobPart("j", 5, 0, 1, Codec.encode(submission));
    log.stream("jobs.0").add(Codec.encode(part));
    jobLog.start(new HeartbeatTable(1_500));
    timers.advance(400);
  }

  private Job job() {
    return jobLog.table().get("j");
  }

  private void write(int item, String text) {
    writer.write(job(), new ItemResult("j", "x" + item, true, text, List.of(1L), "s"));
  }

  private List<List<String>> texts() {
    List<List<String>> received = new ArrayList<>();
    new ResultTextCache(context)
        .read("results.0", job().results(), timers.nowMillis() + 1_000)
        .subscribe()
        .with(received::add);
    timers.advance(10);
    return received;
  }

  @Test
  void aResultIsRecordedWithTheLocationOfItsText() {
    write(0, "one");
    write(1, "two");
    timers.advance(100);
    assertThat(texts(), contains(equalTo(List.of("one", "two"))));
  }

  @Test
  void aResultWithoutTextNeedsNoLocation() {
    writer.write(job(), new ItemResult("j", "x0", false, "", List.of(), ""));
    timers.advance(100);
    assertThat(texts(), contains(equalTo(List.of(""))));
    assertThat(log.stream("results.0"), hasSize(0));
  }

  @Test
  void noResultIsRecordedBeforeItsText() {
    log.appendBehavior = MemoryLog.Behavior.NEVER_RESPONDS;
    write(0, "one");
    timers.advance(5_000);
    assertThat(job().results(), hasSize(0));
    log.appendBehavior = MemoryLog.Behavior.NORMAL;
    timers.advance(2_000);
    assertThat(texts(), contains(equalTo(List.of("one"))));
  }

  @Test
  void anAppendWithALostAnswerIsRepeatedAndTheFirstResultCounts() {
    log.appendBehavior = MemoryLog.Behavior.LOSES_RESPONSES;
    write(0, "one");
    timers.advance(3_000);
    log.appendBehavior = MemoryLog.Behavior.NORMAL;
    timers.advance(2_000);
    assertThat(job().results(), hasSize(1));
    assertThat(texts(), contains(equalTo(List.of("one"))));
    assertThat(log.stream("results.0").size(), greaterThan(1));
  }

  /** Guards against a text longer than a record that stops all results of its partition. */
  @Test
  void aTextThatExceedsARecordDoesNotHoldUpOtherResults() {
    log.maxRecordBytes = MAX_RECORD_BYTES;
    write(0, "one");
    write(1, "x".repeat(MAX_RECORD_BYTES));
    write(2, "two");
    timers.advance(5_000);
    assertThat(texts(), contains(equalTo(List.of("one", "two"))));
  }

  @Test
  void lostBatchesAreRetriedInSmallerSizes() {
    String large = "x".repeat(50_000);
    log.appendBehavior = MemoryLog.Behavior.NEVER_RESPONDS;
    for (int i = 0; i < ITEMS; i++) {
      write(i, large);
    }
    timers.advance(6_000);
    int calls = log.appendCalls;
    log.appendBehavior = MemoryLog.Behavior.NORMAL;
    timers.advance(3_000);
    assertThat(job().results(), hasSize(ITEMS));
    // Full batches would need two appends; after five losses the first batch is limited to 64 KB.
    assertThat(log.appendCalls - calls, greaterThan(4));
    assertThat(log.appendCalls - calls, lessThan(2 * ITEMS));
  }
}
