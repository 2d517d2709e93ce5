package org.passhaven.node;

import java.util.Objects;
import java.util.function.IntUnaryOperator;
import org.passhaven.node.stream.RecordSequence;
import org.passhaven.spi.Platform;
import org.passhaven.spi.Timers;

/**
 * Holds the dependencies that the components of a node share.
 *
 * @param incarnation number of this start of the node; higher than that of any earlier start
 * @param randomBelow returns a random number from zero (inclusive) to its argument (exclusive)
 * @param recordSequence numbers the records that this incarnation writes
 */
public record NodeContext(
    NodeSettings settings,
    long incarnation,
    Platform platform,
    Timers timers,
    IntUnaryOperator randomBelow,
    NodeMetrics metrics,
    RecordSequence recordSequence) {
  public NodeContext {
    Objects.requireNonNull(settings, "settings");
    Objects.requireNonNull(platform, "platform");
    Objects.requireNonNull(timers, "timers");
    Objects.requireNonNull(randomBelow, "randomBelow");
    Objects.requireNonNull(metrics, "metrics");
    Objects.requireNonNull(recordSequence, "recordSequence");
  }

  /** Returns a copy whose timers detect clock jumps. */
  NodeContext withClockJumpDetection() {
    return new NodeContext(
        settings,
        incarnation,
        platform,
        new ClockJumpDetectingTimers(timers),
        randomBelow,
        metrics,
        recordSequence);
  }
}
