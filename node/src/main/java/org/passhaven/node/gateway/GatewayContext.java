package org.passhaven.node.gateway;

import java.util.Objects;
import java.util.function.IntUnaryOperator;
import org.passhaven.node.ClockJumpDetectingTimers;
import org.passhaven.spi.BackEndService;
import org.passhaven.spi.DutyService;
import org.passhaven.spi.LogService;
import org.passhaven.spi.TableService;
import org.passhaven.spi.Timers;

/**
 * The settings, clocks and external services that all components of a gateway node share.
 *
 * @param incarnation number of this start of the node, higher than that of all earlier ones
 * @param randomBelow returns a random number from zero (inclusive) to the argument (exclusive)
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

  /** Returns a copy whose timers detect clock jumps, as after a suspension of the process. */
  GatewayContext withClockJumpDetection() {
    return new GatewayContext(
        settings,
        incarnation,
        new ClockJumpDetectingTimers(timers),
        randomBelow,
        log,
        tables,
        backEnds,
        duties,
        documents,
        metrics);
  }

  /** Returns a copy that sends requests to servers through another service. */
  GatewayContext withBackEnds(BackEndService others) {
    return new GatewayContext(
        settings,
        incarnation,
        timers,
        randomBelow,
        log,
        tables,
        others,
        duties,
        documents,
        metrics);
  }

  /** Returns the monotonic time in milliseconds. */
  public long nowMillis() {
    return timers.nowMillis();
  }
}
