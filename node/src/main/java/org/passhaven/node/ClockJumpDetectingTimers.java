package org.passhaven.node;

import java.util.Objects;
import org.passhaven.core.lease.ClockJumpDetector;
import org.passhaven.spi.ClockJumps;
import org.passhaven.spi.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Timers that detect clock jumps, log them and count them in {@link #clockJumps}. Each call of
 * {@link #nowMillis} compares the monotonic clock with the time of day, so that the first call
 * after a suspension of the machine detects the jump: code that asks the time before it acts learns
 * of the suspension before it acts.
 */
public final class ClockJumpDetectingTimers implements Timers {
  private static final Logger LOG = LoggerFactory.getLogger(ClockJumpDetectingTimers.class);
  private final Timers timers;
  private final ClockJumpDetector detector = new ClockJumpDetector();
  private ClockJumps clockJumps = ClockJumps.NONE;

  /** Creates timers that delegate to {@code timers} and check its clocks. */
  public ClockJumpDetectingTimers(Timers timers) {
    this.timers = Objects.requireNonNull(timers, "timers");
  }

  @Override
  public long nowMillis() {
    long now = timers.nowMillis();
    long jumpMillis = detector.check(now, timers.timeOfDayMillis());
    if (jumpMillis != 0) {
      clockJumps =
          new ClockJumps(clockJumps.count() + 1, clockJumps.lostMillis() + Math.max(0, jumpMillis));
      LOG.atWarn().addKeyValue("gapMillis", jumpMillis).log("clock: the clocks have moved apart");
    }
    return now;
  }

  @Override
  public long timeOfDayMillis() {
    return timers.timeOfDayMillis();
  }

  @Override
  public ClockJumps clockJumps() {
    return clockJumps;
  }

  @Override
  public Timer after(long delayMillis, Runnable task) {
    return timers.after(delayMillis, task);
  }
}
