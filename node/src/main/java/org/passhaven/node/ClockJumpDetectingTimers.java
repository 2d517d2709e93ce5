package org.passhaven.node;

import java.util.Objects;
import org.passhaven.core.lease.ClockJumpDetector;
import org.passhaven.spi.ClockJumps;
import org.passhaven.spi.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Timers that compare the clocks each time the monotonic one is read, so that whoever asks the time
 * before it acts learns of a suspension before it acts. Two readings of clocks, some 50 ns.
 */
public final class ClockJumpDetectingTimers implements Timers {
  private static final Logger LOG = LoggerFactory.getLogger(ClockJumpDetectingTimers.class);
  private final Timers timers;
  private final ClockJumpDetector watch = new ClockJumpDetector();
  private ClockJumps gaps = ClockJumps.NONE;

  /** Watches the clocks of {@code timers}. */
  public ClockJumpDetectingTimers(Timers timers) {
    this.timers = Objects.requireNonNull(timers, "timers");
  }

  @Override
  public long nowMillis() {
    long now = timers.nowMillis();
    long gap = watch.check(now, timers.timeOfDayMillis());
    if (gap != 0) {
      gaps = new ClockJumps(gaps.count() + 1, gaps.lostMillis() + Math.max(0, gap));
      LOG.atWarn().addKeyValue("gapMillis", gap).log("clock: the clocks have moved apart");
    }
    return now;
  }

  @Override
  public long timeOfDayMillis() {
    return timers.timeOfDayMillis();
  }

  @Override
  public ClockJumps clockJumps() {
    return gaps;
  }

  @Override
  public Timer after(long delayMillis, Runnable task) {
    return timers.after(delayMillis, task);
  }
}
