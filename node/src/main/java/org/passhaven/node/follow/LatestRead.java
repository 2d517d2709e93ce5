package org.passhaven.node.follow;

import io.smallrye.mutiny.Uni;
import java.util.function.Consumer;

/**
 * Tracks the read that was started last and ignores the responses of earlier reads. Not
 * thread-safe.
 */
final class LatestRead {
  private long latestNumber;
  private boolean isInFlight;

  /** Returns whether the latest read is still in flight. */
  boolean isInFlight() {
    return isInFlight;
  }

  /** Starts a read, which replaces any read in flight. */
  <T> void start(Uni<T> read, Consumer<T> onResponse, Consumer<Throwable> onFailure) {
    long number = ++latestNumber;
    isInFlight = true;
    read.subscribe()
        .with(
            response -> complete(number, () -> onResponse.accept(response)),
            failure -> complete(number, () -> onFailure.accept(failure)));
  }

  private void complete(long number, Runnable callback) {
    if (number == latestNumber) {
      isInFlight = false;
      callback.run();
    }
  }
}
