package org.passhaven.node.gateway;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Objects;
import java.util.function.IntSupplier;
import org.passhaven.core.usage.TrueTime;
import org.passhaven.core.usage.UsageCounter;
import org.passhaven.core.usage.UsageSettings;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.usage.UsageRecord;
import org.passhaven.spi.PlatformException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts requests that this node has brought to run, and tells the counts to the log. */
final class UsageMeter {
  private static final Logger LOG = LoggerFactory.getLogger(UsageMeter.class);
  static final String STREAM = "usage.0";

  private static final long LOOK_MILLIS = 250;

  private static final long CLOCK_MILLIS = 500;
  private final GatewayContext context;
  private final UsageSettings settings;
  private final UsageCounter counter;
  private final TrueTime trueTime = new TrueTime();
  private final IntSupplier liveNodes;
  private long toldAtMillis = Long.MIN_VALUE / 2;
  private boolean isTelling;

  /**
   * Creates the meter; {@link #start} begins.
   *
   * @param liveNodes number of nodes that are known to be alive
   */
  UsageMeter(GatewayContext context, UsageSettings settings, IntSupplier liveNodes) {
    this.liveNodes = Objects.requireNonNull(liveNodes, "liveNodes");
    this.context = Objects.requireNonNull(context, "context");
    this.settings = Objects.requireNonNull(settings, "settings");
    this.counter = new UsageCounter(context.settings().node(), context.incarnation());
    sampleClocks();
  }

  void start() {
    context.timers().every(CLOCK_MILLIS, this::sampleClocks);
    context.timers().every(LOOK_MILLIS, this::tellIfDue);
  }

  private void tellIfDue() {
    if (context.now() - toldAtMillis >= settings.tellMillis(liveNodes.getAsInt())) {
      tell().subscribe().with(ignored -> {});
    }
  }

  private void sampleClocks() {
    trueTime.onSample(context.now(), context.timers().timeOfDayMillis());
  }

  /** The newest window whose counts are to be fixed by now. */
  long newestDue(long nowMillis) {
    return settings.newestDue(trueTime.at(nowMillis));
  }

  /** A request of a tenant, sent at a moment of the steady clock, has begun to run at a server. */
  void onBegan(String tenant, long sentAtMillis) {
    if (!tenant.isEmpty()) {
      counter.onBegan(tenant, settings.windowAt(trueTime.at(sentAtMillis)));
    }
  }

  /** Tells what is new; gives a result when it is in the log, or may be. */
  Uni<Void> tell() {
    List<UsageRecord> records = isTelling ? List.of() : counter.takeUntold();
    if (records.isEmpty()) {
      return Uni.createFrom().voidItem();
    }
    isTelling = true;
    toldAtMillis = context.now();
    return context
        .log()
        .append(STREAM, records.stream().map(Codec::encode).toList())
        .onTermination()
        .invoke(() -> isTelling = false)
        .onFailure()
        .invoke(failure -> onFailure(records, failure))
        .onFailure()
        .recoverWithItem(0L)
        .replaceWithVoid();
  }

  private void onFailure(List<UsageRecord> records, Throwable failure) {
    counter.onNotTold(records);
    LOG.atDebug()
        .addKeyValue("windows", records.size())
        .addKeyValue("reason", PlatformException.from(failure).getMessage())
        .log("usage: counts were not told");
  }
}
