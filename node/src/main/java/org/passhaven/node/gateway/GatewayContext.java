package org.passhaven.node.gateway;

import java.util.Objects;
import java.util.function.IntUnaryOperator;
import org.passhaven.node.WatchedTimers;
import org.passhaven.spi.BackEndService;
import org.passhaven.spi.DutyService;
import org.passhaven.spi.LogService;
import org.passhaven.spi.TableService;
import org.passhaven.spi.Timers;

/**
 * What every part of a gateway node is given.
 *
 * @param incarnation this start of the node; higher than that of any earlier start
 * @param randomBelow random number from zero to below the argument
 */
public record GatewayContext(
    GatewaySettings settings,
    long incarnation,
    Timers timers,
    IntUnaryOperator randomBelow,
    LogService log,
    TableService tables,
    BackEndService backEnds,
    DutyService duties,
    PlatformDocuments documents,
    GatewayMetrics metrics) {
  public GatewayContext {
    Objects.requireNonNull(settings, "settings");
    Objects.requireNonNull(timers, "timers");
    Objects.requireNonNull(randomBelow, "randomBelow");
    Objects.requireNonNull(log, "log");
    Objects.requireNonNull(tables, "tables");
    Objects.requireNonNull(backEnds, "backEnds");
    Objects.requireNonNull(duties, "duties");
    Objects.requireNonNull(documents, "documents");
    Objects.requireNonNull(metrics, "metrics");
  }

  /** The same with clocks that are watched for gaps. */
  GatewayContext watched() {
    return new GatewayContext(
        settings,
        incarnation,
        new WatchedTimers(timers),
        randomBelow,
        log,
        tables,
        backEnds,
        duties,
        documents,
        metrics);
  }

  /** Monotonic milliseconds. */
  public long now() {
    return timers.nowMillis();
  }
}
