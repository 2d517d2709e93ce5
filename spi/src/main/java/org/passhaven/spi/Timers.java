package org.passhaven.spi;

import io.smallrye.mutiny.Uni;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;

/**
 * Clocks and timers of a node; simulated in the simulator. Callbacks run on the node's own thread.
 * The monotonic clock does not advance while the machine is suspended.
 */
public interface Timers {
  /** A scheduled task. */
  interface Timer {
    /** Cancels the task. Has no effect if it has already run. */
    void cancel();
  }

  /** Returns monotonic milliseconds since an arbitrary origin. */
  long nowMillis();

  /**
   * Returns the time of day in milliseconds. It advances while the machine is suspended and may
   * jump forwards or backwards.
   */
  default long timeOfDayMillis() {
    return nowMillis();
  }

  /**
   * Returns the clock jumps so far, including any detected by the latest call of {@link
   * #nowMillis}.
   */
  default ClockJumps clockJumps() {
    return ClockJumps.NONE;
  }

  /** Runs {@code task} once after a delay. */
  Timer after(long delayMillis, Runnable task);

  /** Runs {@code task} repeatedly with a delay of {@code delayMillis} before each run. */
  default Timer every(long delayMillis, Runnable task) {
    AtomicBoolean cancelled = new AtomicBoolean();
    Runnable[] repeat = new Runnable[1];
    repeat[0] =
        () -> {
          if (!cancelled.get()) {
            task.run();
            after(delayMillis, repeat[0]);
          }
        };
    after(delayMillis, repeat[0]);
    return () -> cancelled.set(true);
  }

  /**
   * Returns {@code uni} with a timeout. On timeout the result fails with an unknown outcome and
   * {@code uni} is cancelled; it is also cancelled when the subscriber cancels.
   */
  default <T> Uni<T> withTimeout(Uni<T> uni, long limitMillis, String description) {
    return withIdleTimeout(onActivity -> uni, limitMillis, description);
  }

  /**
   * Returns the result of a call with an idle timeout. After {@code idleTimeoutMillis} without
   * activity the result fails with an unknown outcome and the call is cancelled; it is also
   * cancelled when the subscriber cancels.
   *
   * @param call starts the call; its argument must be run at each sign of activity
   */
  default <T> Uni<T> withIdleTimeout(
      Function<Runnable, Uni<T>> call, long idleTimeoutMillis, String description) {
    return Uni.createFrom()
        .emitter(
            emitter ->
                new IdleTimeoutCall<T>(this, idleTimeoutMillis, description, emitter).start(call));
  }
}
