package org.passhaven.spi;

import io.smallrye.mutiny.Uni;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Monotonic clock and timers of one node; virtual in the simulator. Callbacks run on the node's own
 * thread.
 */
public interface Timers {
  /** A timer that was set. */
  interface Timer {
    /** Stops the timer; harmless if it ran. */
    void cancel();
  }

  /** Monotonic milliseconds since some fixed moment. */
  long nowMillis();

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
   * {@code uni} with a time limit: past it the outcome is unknown, and {@code uni} is cancelled.
   */
  default <T> Uni<T> limit(Uni<T> uni, long limitMillis, String what) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              AtomicBoolean done = new AtomicBoolean();
              io.smallrye.mutiny.subscription.Cancellable[] running =
                  new io.smallrye.mutiny.subscription.Cancellable[1];
              Timer timer =
                  after(
                      limitMillis,
                      () -> {
                        if (done.compareAndSet(false, true)) {
                          if (running[0] != null) {
                            running[0].cancel();
                          }
                          emitter.fail(
                              new PlatformException(
                                  PlatformException.Kind.OUTCOME_UNKNOWN, what + " timed out"));
                        }
                      });
              running[0] =
                  uni.subscribe()
                      .with(
                          item -> {
                            if (done.compareAndSet(false, true)) {
                              timer.cancel();
                              emitter.complete(item);
                            }
                          },
                          failure -> {
                            if (done.compareAndSet(false, true)) {
                              timer.cancel();
                              emitter.fail(failure);
                            }
                          });
            });
  }
}
