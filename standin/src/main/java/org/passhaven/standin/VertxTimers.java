package org.passhaven.standin;

import io.vertx.mutiny.core.Vertx;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.passhaven.spi.Timers;

/** Timers of the event loop that sets them. */
public final class VertxTimers implements Timers {
  private final Vertx vertx;
  private final LongSupplier steadyNanos;

  /** Creates timers. */
  public VertxTimers(Vertx vertx) {
    this(vertx, System::nanoTime);
  }

  /** Creates timers by a steady clock, in nanoseconds, that runs no faster than the system's. */
  public VertxTimers(Vertx vertx, LongSupplier steadyNanos) {
    this.vertx = Objects.requireNonNull(vertx, "vertx");
    this.steadyNanos = Objects.requireNonNull(steadyNanos, "steadyNanos");
  }

  @Override
  public long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(steadyNanos.getAsLong());
  }

  @Override
  public long timeOfDayMillis() {
    return System.currentTimeMillis();
  }

  @Override
  public Timer after(long delayMillis, Runnable task) {
    long id = vertx.setTimer(Math.max(1, delayMillis), ignored -> task.run());
    return () -> vertx.cancelTimer(id);
  }
}
