package org.passhaven.node.follow;

import java.util.Objects;
import org.passhaven.spi.PlatformException;
import org.slf4j.Logger;

/**
 * Loss and return of one source that is read for good: each told once in the log, with a pause
 * between tries that doubles. Not thread-safe.
 */
final class Outage {
  private static final long FIRST_PAUSE_MILLIS = 50;
  private static final long MAX_PAUSE_MILLIS = 400;
  private final Logger log;
  private final String part;
  private final String name;
  private boolean down;
  private long pauseMillis = FIRST_PAUSE_MILLIS;

  /**
   * Creates the state of a source that is sound so far.
   *
   * @param part prefix of its log lines, which also names {@code name} in them
   */
  Outage(Logger log, String part, String name) {
    this.log = Objects.requireNonNull(log, "log");
    this.part = Objects.requireNonNull(part, "part");
    this.name = Objects.requireNonNull(name, "name");
  }

  /** A read failed at {@code position}; gives the time to wait before the next one. */
  long onFailure(Throwable failure, long position) {
    if (!down) {
      log.atWarn()
          .addKeyValue(part, name)
          .addKeyValue("next", position)
          .addKeyValue("reason", PlatformException.from(failure).getMessage())
          .log(part + ": lost");
    }
    down = true;
    long pause = pauseMillis;
    pauseMillis = Math.min(MAX_PAUSE_MILLIS, pauseMillis * 2);
    return pause;
  }

  /** Whether the newest read failed. */
  boolean isDown() {
    return down;
  }

  /** A read succeeded. */
  void onSuccess(long position) {
    if (down) {
      log.atInfo().addKeyValue(part, name).addKeyValue("next", position).log(part + ": regained");
    }
    down = false;
    pauseMillis = FIRST_PAUSE_MILLIS;
  }
}
