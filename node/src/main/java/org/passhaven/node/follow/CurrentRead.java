package org.passhaven.node.follow;

import io.smallrye.mutiny.Uni;
import java.util.function.Consumer;

/**
 * The one read of a follower that counts: the answer of a read in whose place another one was begun
 * is dropped. Not thread-safe.
 */
final class CurrentRead {
  private long begun;
  private boolean isUnderWay;

  /** Whether an answer is waited for. */
  boolean isUnderWay() {
    return isUnderWay;
  }

  /** Begins a read, in place of one that may be under way. */
  <T> void begin(Uni<T> read, Consumer<T> onAnswer, Consumer<Throwable> onFailure) {
    long number = ++begun;
    isUnderWay = true;
    read.subscribe()
        .with(
            answer -> end(number, () -> onAnswer.accept(answer)),
            failure -> end(number, () -> onFailure.accept(failure)));
  }

  private void end(long number, Runnable then) {
    if (number == begun) {
      isUnderWay = false;
      then.run();
    }
  }
}
