package org.passhaven.spi;

import io.smallrye.mutiny.Uni;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;

/**
 * Monotonic clock and timers of one node; virtual in the simulator. Callbacks run on the node's own
 * thread. The monotonic clock does not count the time in which the machine is suspended.
 */
public interface Timers {
  /** A timer that was set. */
  interface Timer {
    /** Stops the timer; harmless if it ran. */
    void cancel();
  }

  /** Monotonic milliseconds since some fixed moment. */
  long nowMillis();

  /**
   * Time of day in milliseconds. It counts the time in which the machine was suspended, and may
   * jump both ways.
   */
  default long timeOfDayMillis() {
    return nowMillis();
  }

  /** Gaps between the clocks, those included that the newest call of {@link #nowMillis} found. */
  default ClockGaps clockGaps() {
    return ClockGaps.NONE;
  }

  /** Runs {@code task} once after a delay. */
  Timer after(long delayMillis, Runnable task);

  /** Runs {@code task} again and again, the first time after {@code delayMillis}. */
  default Timer every(long delayMillis, Runnable task) {
    AtomicBoolean cancelled = new AtomicBoolean();
    Runnable[] again = new Runnable[1];
    again[0] =
        () -> {
          if (!cancelled.get()) {
            task.run();
            after(delayMillis, again[0]);
          }
        };
    after(delayMillis, again[0]);
    return () -> cancelled.set(true);
  }

  /**
   * {@code uni} with a time limit: past it the outcome is unknown, and {@code uni} is cancelled, as
   * it is when nobody waits for the outcome any more.
   */
  default <T> Uni<T> limit(Uni<T> uni, long limitMillis, String what) {
    return limitSilence(signOfLife -> uni, limitMillis, what);
  }

  /**
   * A call that may take as long as it likes as long as there are signs of life: after a silence of
   * {@code silenceMillis} the outcome is unknown, and the call is cancelled, as it is when nobody
   * waits for the outcome any more.
   *
   * @param call begins the call; it is given what to run at each sign of life
   */
  default <T> Uni<T> limitSilence(
      Function<Runnable, Uni<T>> call, long silenceMillis, String what) {
    return Uni.createFrom()
        .emitter(emitter -> new LimitedCall<T>(this, silenceMillis, what, emitter).begin(call));
  }
}
