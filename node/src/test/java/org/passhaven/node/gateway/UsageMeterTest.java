package org.passhaven.node.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.passhaven.core.usage.UsageSettings;
import org.passhaven.node.ManualTimers;
import org.passhaven.node.MemoryLog;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.usage.UsageRecord;
import org.passhaven.spi.DutyService;

/** Guards against counts that are published late or not at all. */
class UsageMeterTest {
  private static final String STREAM = "usage.0";
  private static final long CHECK_INTERVAL_MILLIS = 250;

  /** Start of no window, so that no test crosses the end of one. */
  private static final long START_MILLIS = 10_000;

  private final ManualTimers timers = new ManualTimers();
  private final MemoryLog log = new MemoryLog(timers);
  private final UsageMeter meter =
      new UsageMeter(
          new GatewayContext(
              GatewayFixture.settings(1, 262_144, 2_097_152),
              1,
              timers,
              bound -> 0,
              log,
              new GatewayFixture.SilentTables(),
              new GatewayFixture.SilentServers(),
              DutyService.NONE,
              new GatewayFixture.EmptyDocuments(),
              new GatewayMetrics(new SimpleMeterRegistry())),
          new UsageSettings(60_000, 3_000, 160),
          () -> 1);

  private long lastPublishedCount() {
    List<byte[]> records = log.stream(STREAM);
    return Codec.decode(records.get(records.size() - 1), UsageRecord.class).counts().get("t");
  }

  private void startAndCountOne() {
    meter.start();
    timers.advance(START_MILLIS);
    meter.onRunStarted("t", timers.nowMillis());
  }

  @Test
  void aCountIsPublishedWithinOneCheckInterval() {
    startAndCountOne();
    timers.advance(CHECK_INTERVAL_MILLIS);
    assertThat(lastPublishedCount(), equalTo(1L));
  }

  @Test
  void countsDuringAnAppendArePublishedAfterIt() {
    startAndCountOne();
    log.appendBehavior = MemoryLog.Behavior.LOSES_RESPONSES;
    timers.advance(CHECK_INTERVAL_MILLIS);
    meter.onRunStarted("t", timers.nowMillis());
    log.appendBehavior = MemoryLog.Behavior.NORMAL;
    timers.advance(1_000 + 2 * CHECK_INTERVAL_MILLIS);
    assertThat(lastPublishedCount(), equalTo(2L));
  }

  @Test
  void aFailedAppendIsRepeatedWithoutAnotherRequest() {
    startAndCountOne();
    log.appendBehavior = MemoryLog.Behavior.REJECTS_CALLS;
    timers.advance(2_000);
    assertThat(log.stream(STREAM), hasSize(0));
    log.appendBehavior = MemoryLog.Behavior.NORMAL;
    timers.advance(2 * CHECK_INTERVAL_MILLIS);
    assertThat(lastPublishedCount(), equalTo(1L));
  }

  @Test
  void nothingIsCheckedWhileThereIsNothingToPublish() {
    startAndCountOne();
    timers.advance(2 * CHECK_INTERVAL_MILLIS);
    int samplingOnly = 1;
    assertThat(timers.pendingTaskCount(), equalTo(samplingOnly));
  }
}
