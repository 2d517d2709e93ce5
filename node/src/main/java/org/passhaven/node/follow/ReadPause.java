package org.passhaven.node.follow;

import java.util.Objects;
import org.passhaven.spi.Timers;

/** The pause between two reads, which ends early when somebody waits for news. Not thread-safe. */
final class ReadPause {
  private final Timers timers;
  private final Runnable then;
  private Timers.Timer running;

  /**
   * Creates a pause that has not begun.
   *
   * @param then begins the next read
   */
  ReadPause(Timers timers, Runnable then) {
    this.timers = Objects.requireNonNull(timers, "timers");
    this.then = Objects.requireNonNull(then, "then");
  }

  /** Whether the pause has begun and not ended. */
  boolean isRunning() {
    return running != null;
  }

  /** Pauses, or reads on at once if the time is zero. */
  void begin(long millis) {
    if (millis > 0) {
      running = timers.after(millis, this::end);
    } else {
      then.run();
    }
  }

  /** Ends the pause now; does nothing if there is none. */
  void cutShort() {
    if (running != null) {
      running.cancel();
      end();
    }
  }

  private void end() {
    running = null;
    then.run();
  }
}
