package org.passhaven.node.gateway;

import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import org.passhaven.core.usage.UsageReportTracker;
import org.passhaven.core.usage.UsageTable;
import org.passhaven.node.follow.LogTail;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.CodecException;
import org.passhaven.protocol.duty.DutyRecord;
import org.passhaven.protocol.usage.UsageRecord;
import org.passhaven.spi.DutyService.Usage;
import org.passhaven.spi.PlatformException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The duty that reports the usage of each time window. The counts of a window are made final in the
 * log before they are first sent, so that every retry by any lease holder sends the same counts.
 */
final class UsageReporter implements Duty {
  private static final Logger LOG = LoggerFactory.getLogger(UsageReporter.class);
  private static final long CALL_TIMEOUT_MILLIS = 700;

  /** Backoff after a failed report, since the platform limits the rate of reports. */
  private static final long RETRY_DELAY_MILLIS = 300;

  /**
   * Time after which counts are appended again if the record was not read back, which takes about
   * 20 ms if the store is sound and in the same region.
   */
  private static final long FIX_RETRY_DELAY_MILLIS = 1_500;

  /** Batches reads of counts, which are needed only seconds after their window. */
  private static final long READ_PAUSE_MILLIS = 500;

  private final GatewayContext context;
  private final DutyAgent duties;
  private final UsageMeter meter;
  private final UsageReportTracker reports = new UsageReportTracker();
  private UsageTable table = new UsageTable();
  private LogTail tail;
  private long lastFixedMillis = Long.MIN_VALUE / 2;
  private long retryNotBeforeMillis = Long.MIN_VALUE / 2;
  private boolean isReading;
  private boolean isSending;

  /** Creates the duty and adds it to the agent. */
  UsageReporter(GatewayContext context, DutyAgent duties, UsageMeter meter) {
    this.context = Objects.requireNonNull(context, "context");
    this.duties = Objects.requireNonNull(duties, "duties");
    this.meter = Objects.requireNonNull(meter, "meter");
    duties.add(this);
  }

  @Override
  public boolean isNeeded(long nowMillis) {
    return reports.hasWork(meter.newestDueWindow(nowMillis));
  }

  @Override
  public void onHolderChanged(boolean isHolder) {
    if (tail != null) {
      tail.close();
      tail = null;
    }
    if (isHolder) {
      table = new UsageTable();
      tail =
          new LogTail(
              context.log(),
              context.timers(),
              UsageMeter.STREAM,
              () -> READ_PAUSE_MILLIS,
              this::onCounts);
      tail.start(reports.resumeOffset());
    }
  }

  private void onCounts(byte[] bytes) {
    try {
      table.onRecord(Codec.decode(bytes, UsageRecord.class), tail.nextOffset() - 1);
    } catch (CodecException e) {
      LOG.atError().addKeyValue("reason", e.getMessage()).log("usage: a record can't be read");
    }
  }

  @Override
  public void onRecord(DutyRecord record) {
    if (record instanceof DutyRecord.UsageFixed fixed) {
      reports.onFixed(fixed);
      table.removeUpTo(fixed.window());
      lastFixedMillis = Long.MIN_VALUE / 2;
    } else if (record instanceof DutyRecord.UsageReported reported) {
      reports.onReported(reported);
    }
  }

  @Override
  public void act(long nowMillis) {
    if (isSending || nowMillis < retryNotBeforeMillis) {
      return;
    }
    if (reports.nextToReport().isPresent()) {
      send(reports.nextToReport().get(), nowMillis);
    } else if (nowMillis - lastFixedMillis >= FIX_RETRY_DELAY_MILLIS && !isReading) {
      OptionalLong window = reports.nextToFix(meter.newestDueWindow(nowMillis));
      window.ifPresent(this::readThenFix);
    }
  }

  /** Reads all counts in the log, then makes the window's counts final. */
  private void readThenFix(long window) {
    if (tail == null || !tail.isCaughtUp()) {
      return;
    }
    isReading = true;
    LogTail currentTail = tail;
    context
        .timers()
        .withTimeout(currentTail.refresh(), CALL_TIMEOUT_MILLIS, "usage")
        .onFailure()
        .recoverWithItem(false)
        .subscribe()
        .with(
            isComplete -> {
              isReading = false;
              if (isComplete && currentTail == tail) {
                fix(window);
              }
            });
  }

  private void fix(long window) {
    lastFixedMillis = context.nowMillis();
    duties.append(
        new DutyRecord.UsageFixed(
            duties.epoch(),
            context.settings().node(),
            context.incarnation(),
            window,
            table.totals(window),
            table.firstOffsetAfter(window).orElse(tail.nextOffset())));
  }

  private void send(Map.Entry<Long, Map<String, Long>> due, long nowMillis) {
    if (!duties.mayAct()) {
      return;
    }
    isSending = true;
    long window = due.getKey();
    Usage usage = new Usage(context.settings().node(), duties.epoch(), window, due.getValue());
    duties.onCallSent();
    context
        .duties()
        .reportUsage(usage, CALL_TIMEOUT_MILLIS)
        .subscribe()
        .with(
            done -> onReported(usage, nowMillis),
            failure -> onFailed(usage, PlatformException.from(failure)));
  }

  private void onReported(Usage usage, long sentAtMillis) {
    isSending = false;
    context.metrics().usageWindowsReported.increment();
    LOG.atInfo()
        .addKeyValue("window", usage.window())
        .addKeyValue("tenants", usage.counts().size())
        .addKeyValue("requests", usage.counts().values().stream().mapToLong(Long::longValue).sum())
        .addKeyValue("windowsBehind", meter.newestDueWindow(context.nowMillis()) - usage.window())
        .addKeyValue("tookMillis", context.nowMillis() - sentAtMillis)
        .addKeyValue("fence", usage.fence())
        .log("usage: window reported");
    DutyRecord.UsageReported record =
        new DutyRecord.UsageReported(
            usage.fence(), context.settings().node(), context.incarnation(), usage.window());
    // Marks it as reported here, so that it is not sent again if the append fails.
    reports.onReported(record);
    duties.append(record);
    duties.onCallAnswered();
  }

  private void onFailed(Usage usage, PlatformException failure) {
    isSending = false;
    retryNotBeforeMillis = context.nowMillis() + RETRY_DELAY_MILLIS;
    context.metrics().usageReportsFailed.increment();
    LOG.atInfo()
        .addKeyValue("window", usage.window())
        .addKeyValue("fence", usage.fence())
        .addKeyValue("reason", failure.getMessage())
        .log("usage: a report failed");
    if (failure.kind() == PlatformException.Kind.NOT_RUN) {
      duties.onCallAnswered();
    } else {
      duties.onCallUnanswered();
    }
  }
}
