package org.passhaven.node.gateway;

import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import org.passhaven.core.usage.UsageReports;
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
 * The duty to report usage by window. The counts of a window are fixed in the log before they are
 * first sent, so every repeat, by this holder or a later one, says the same.
 */
final class UsageReporter implements Duty {
  private static final Logger LOG = LoggerFactory.getLogger(UsageReporter.class);
  private static final long CALL_LIMIT_MILLIS = 700;

  /** The platform takes a bounded number of such calls a second from all nodes together. */
  private static final long RETRY_MILLIS = 300;

  /** A record is read back within some 20 ms where the store is sound. */
  private static final long FIX_AGAIN_MILLIS = 1_500;

  /** Counts come in batches; they are fixed seconds after their window. */
  private static final long READ_PAUSE_MILLIS = 500;

  private final GatewayContext context;
  private final DutyAgent duties;
  private final UsageMeter meter;
  private final UsageReports reports = new UsageReports();
  private UsageTable table = new UsageTable();
  private LogTail tail;
  private long fixedAtMillis = Long.MIN_VALUE / 2;
  private long notBeforeMillis = Long.MIN_VALUE / 2;
  private boolean isRefreshing;
  private boolean isSending;

  /** Creates the duty and hands it to the agent. */
  UsageReporter(GatewayContext context, DutyAgent duties, UsageMeter meter) {
    this.context = Objects.requireNonNull(context, "context");
    this.duties = Objects.requireNonNull(duties, "duties");
    this.meter = Objects.requireNonNull(meter, "meter");
    duties.add(this);
  }

  @Override
  public boolean isNeeded(long nowMillis) {
    return reports.isNeeded(meter.newestDue(nowMillis));
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
      tail.start(reports.readTo());
    }
  }

  private void onCounts(byte[] bytes) {
    try {
      table.onRecord(Codec.decode(bytes, UsageRecord.class), tail.position() - 1);
    } catch (CodecException e) {
      LOG.atError().addKeyValue("reason", e.getMessage()).log("usage: a record can't be read");
    }
  }

  @Override
  public void onRecord(DutyRecord record) {
    if (record instanceof DutyRecord.UsageFixed fixed) {
      reports.onFixed(fixed);
      table.forgetTo(fixed.window());
      fixedAtMillis = Long.MIN_VALUE / 2;
    } else if (record instanceof DutyRecord.UsageReported reported) {
      reports.onReported(reported);
    }
  }

  @Override
  public void act(long nowMillis) {
    if (isSending || nowMillis < notBeforeMillis) {
      return;
    }
    if (reports.nextToReport().isPresent()) {
      send(reports.nextToReport().get(), nowMillis);
    } else if (nowMillis - fixedAtMillis >= FIX_AGAIN_MILLIS && !isRefreshing) {
      OptionalLong window = reports.nextToFix(meter.newestDue(nowMillis));
      window.ifPresent(this::readThenFix);
    }
  }

  /** All that is in the log by now counts. */
  private void readThenFix(long window) {
    if (tail == null || !tail.isCaughtUp()) {
      return;
    }
    isRefreshing = true;
    LogTail reading = tail;
    context
        .timers()
        .limit(reading.refresh(), CALL_LIMIT_MILLIS, "usage")
        .onFailure()
        .recoverWithItem(false)
        .subscribe()
        .with(
            isSure -> {
              isRefreshing = false;
              if (isSure && reading == tail) {
                fix(window);
              }
            });
  }

  private void fix(long window) {
    fixedAtMillis = context.now();
    duties.append(
        new DutyRecord.UsageFixed(
            duties.epoch(),
            context.settings().node(),
            context.incarnation(),
            window,
            table.totals(window),
            table.firstOffsetBehind(window).orElse(tail.position())));
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
        .reportUsage(usage, CALL_LIMIT_MILLIS)
        .subscribe()
        .with(
            done -> onReported(usage, nowMillis),
            failure -> onFailed(usage, PlatformException.from(failure)));
  }

  private void onReported(Usage usage, long sentAtMillis) {
    isSending = false;
    context.metrics().windowsReported.increment();
    LOG.atInfo()
        .addKeyValue("window", usage.window())
        .addKeyValue("tenants", usage.counts().size())
        .addKeyValue("requests", usage.counts().values().stream().mapToLong(Long::longValue).sum())
        .addKeyValue("windowsBehind", meter.newestDue(context.now()) - usage.window())
        .addKeyValue("tookMillis", context.now() - sentAtMillis)
        .addKeyValue("fence", usage.fence())
        .log("usage: window reported");
    DutyRecord.UsageReported record =
        new DutyRecord.UsageReported(
            usage.fence(), context.settings().node(), context.incarnation(), usage.window());
    // It is not sent again whatever becomes of the record.
    reports.onReported(record);
    duties.append(record);
    duties.onCallAnswered();
  }

  private void onFailed(Usage usage, PlatformException failure) {
    isSending = false;
    notBeforeMillis = context.now() + RETRY_MILLIS;
    context.metrics().windowReportsFailed.increment();
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
