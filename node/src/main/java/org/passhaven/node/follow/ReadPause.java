package org.passhaven.node.follow;

import java.util.Objects;
import org.passhaven.spi.Timers;

/** A pause between two reads; it can be ended early. Not thread-safe. */
final class ReadPause {
  private final Timers timers;
  private final Runnable onEnd;
  private Timers.Timer timer;

  /**
   * Creates a pause that has not started.
   *
   * @param onEnd starts the next read
   */
  ReadPause(Timers timers, Runnable onEnd) {
    this.timers = Objects.requireNonNull(timers, "timers");
    this.onEnd = Objects.requireNonNull(onEnd, "onEnd");
  }

  /** Returns whether the pause has started and not ended. */
  boolean isRunning() {
    return timer != null;
  }

  /** Starts the pause, or the next read if the duration is zero. */
  void start(long millis) {
    if (millis > 0) {
      timer = timers.after(millis, this::end);
    } else {
      onEnd.run();
    }
  }

  /** Ends the pause now; has no effect if there is none. */
  void endNow() {
    if (timer != null) {
      timer.cancel();
      end();
    }
  }

  private void end() {
    timer = null;
    onEnd.run();
  }
}
