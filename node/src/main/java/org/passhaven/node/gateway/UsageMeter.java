package org.passhaven.node.gateway;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Objects;
import java.util.function.IntSupplier;
import org.passhaven.core.usage.TimeOfDayEstimator;
import org.passhaven.core.usage.UsageCounter;
import org.passhaven.core.usage.UsageSettings;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.usage.UsageRecord;
import org.passhaven.spi.PlatformException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts the requests of each tenant that servers began to run, and publishes the counts in the
 * log.
 */
final class UsageMeter {
  private static final Logger LOG = LoggerFactory.getLogger(UsageMeter.class);
  static final String STREAM = "usage.0";

  private static final long PUBLISH_CHECK_INTERVAL_MILLIS = 250;

  private static final long CLOCK_SAMPLE_INTERVAL_MILLIS = 500;
  private final GatewayContext context;
  private final UsageSettings settings;
  private final UsageCounter counter;
  private final TimeOfDayEstimator trueTime = new TimeOfDayEstimator();
  private final IntSupplier liveNodes;
  private long lastPublishedMillis = Long.MIN_VALUE / 2;
  private boolean isPublishing;
  private boolean isCheckScheduled;

  /**
   * Creates a meter; {@link #start} begins its periodic work.
   *
   * @param liveNodes returns the number of live nodes
   */
  UsageMeter(GatewayContext context, UsageSettings settings, IntSupplier liveNodes) {
    this.liveNodes = Objects.requireNonNull(liveNodes, "liveNodes");
    this.context = Objects.requireNonNull(context, "context");
    this.settings = Objects.requireNonNull(settings, "settings");
    this.counter = new UsageCounter(context.settings().node(), context.incarnation());
    sampleClocks();
  }

  void start() {
    context.timers().every(CLOCK_SAMPLE_INTERVAL_MILLIS, this::sampleClocks);
  }

  private void checkLater() {
    if (!isCheckScheduled) {
      isCheckScheduled = true;
      context.timers().after(PUBLISH_CHECK_INTERVAL_MILLIS, this::publishIfDue);
    }
  }

  private void publishIfDue() {
    isCheckScheduled = false;
    if (context.nowMillis() - lastPublishedMillis
        >= settings.publishIntervalMillis(liveNodes.getAsInt())) {
      publish().subscribe().with(ignored -> {});
    }
    if (isPublishing || counter.hasUnpublished()) {
      checkLater();
    }
  }

  private void sampleClocks() {
    trueTime.onSample(context.nowMillis(), context.timers().timeOfDayMillis());
  }

  /** Returns the newest window whose counts are due to be made final. */
  long newestDueWindow(long nowMillis) {
    return settings.newestDue(trueTime.estimateMillis(nowMillis));
  }

  /** Counts a request that a server began to run; the time is in monotonic milliseconds. */
  void onRunStarted(String tenant, long sentAtMillis) {
    if (!tenant.isEmpty()) {
      counter.onRequestStarted(tenant, settings.windowAt(trueTime.estimateMillis(sentAtMillis)));
      checkLater();
    }
  }

  /** Publishes the new counts in the log; completes when the append has succeeded or failed. */
  Uni<Void> publish() {
    List<UsageRecord> records = isPublishing ? List.of() : counter.takeUnpublished();
    if (records.isEmpty()) {
      return Uni.createFrom().voidItem();
    }
    isPublishing = true;
    lastPublishedMillis = context.nowMillis();
    return context
        .log()
        .append(STREAM, records.stream().map(Codec::encode).toList())
        .onTermination()
        .invoke(() -> isPublishing = false)
        .onFailure()
        .invoke(failure -> onFailure(records, failure))
        .onFailure()
        .recoverWithItem(0L)
        .replaceWithVoid();
  }

  private void onFailure(List<UsageRecord> records, Throwable failure) {
    counter.onPublishFailed(records);
    LOG.atDebug()
        .addKeyValue("windows", records.size())
        .addKeyValue("reason", PlatformException.from(failure).getMessage())
        .log("usage: counts could not be published");
  }
}
