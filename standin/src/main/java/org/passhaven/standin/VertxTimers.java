package org.passhaven.standin;

import io.vertx.mutiny.core.Vertx;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.passhaven.spi.Timers;

/** Timers of the event loop that sets them. */
public final class VertxTimers implements Timers {
  private final Vertx vertx;

  /** Creates timers. */
  public VertxTimers(Vertx vertx) {
    this.vertx = Objects.requireNonNull(vertx, "vertx");
  }

  @Override
  public long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  @Override
  public Timer after(long delayMillis, Runnable task) {
    long id = vertx.setTimer(Math.max(1, delayMillis), ignored -> task.run());
    return () -> vertx.cancelTimer(id);
  }
}
