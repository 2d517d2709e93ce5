package org.passhaven.node.follow;

import java.util.Objects;
import org.passhaven.spi.PlatformException;
import org.slf4j.Logger;

/**
 * Tracks outages of one source that is read continuously. Logs the start and the end of each outage
 * once and doubles the backoff after each failed read, up to a maximum. Not thread-safe.
 */
final class OutageTracker {
  private static final long INITIAL_BACKOFF_MILLIS = 50;
  private static final long MAX_BACKOFF_MILLIS = 400;
  private final Logger log;
  private final String sourceKind;
  private final String sourceName;
  private boolean down;
  private long backoffMillis = INITIAL_BACKOFF_MILLIS;

  /**
   * Creates a tracker of a source that is available.
   *
   * @param sourceKind prefix of log lines, and the key of {@code sourceName} in them
   */
  OutageTracker(Logger log, String sourceKind, String sourceName) {
    this.log = Objects.requireNonNull(log, "log");
    this.sourceKind = Objects.requireNonNull(sourceKind, "sourceKind");
    this.sourceName = Objects.requireNonNull(sourceName, "sourceName");
  }

  /** Records a failed read at {@code position}; returns the backoff before the next read. */
  long onFailure(Throwable failure, long position) {
    if (!down) {
      log.atWarn()
          .addKeyValue(sourceKind, sourceName)
          .addKeyValue("next", position)
          .addKeyValue("reason", PlatformException.from(failure).getMessage())
          .log(sourceKind + ": lost");
    }
    down = true;
    long currentBackoffMillis = backoffMillis;
    backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
    return currentBackoffMillis;
  }

  /** Returns whether the last read failed. */
  boolean isDown() {
    return down;
  }

  /** Records a successful read. */
  void onSuccess(long position) {
    if (down) {
      log.atInfo()
          .addKeyValue(sourceKind, sourceName)
          .addKeyValue("next", position)
          .log(sourceKind + ": regained");
    }
    down = false;
    backoffMillis = INITIAL_BACKOFF_MILLIS;
  }
}
