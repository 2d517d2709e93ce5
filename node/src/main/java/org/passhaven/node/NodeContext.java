package org.passhaven.node;

import java.util.Objects;
import java.util.function.IntUnaryOperator;
import org.passhaven.node.stream.RecordSequence;
import org.passhaven.spi.Platform;
import org.passhaven.spi.Timers;

/**
 * What every part of a node is given.
 *
 * @param incarnation this start of the node; higher than that of any earlier start
 * @param randomBelow random number from zero to below the argument; seeded in the simulator
 * @param recordSequence numbers the records that this start writes
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

  /** The same with clocks that are watched for gaps. */
  NodeContext watched() {
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
