package org.passhaven.spi;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.Cancellable;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.function.Function;

/** A call that times out after a period without activity. Runs on the thread of its timers. */
final class IdleTimeoutCall<T> {
  private final Timers timers;
  private final long idleTimeoutMillis;
  private final String description;
  private final UniEmitter<? super T> emitter;
  private Timers.Timer timer;
  private Cancellable subscription;
  private boolean ended;

  IdleTimeoutCall(
      Timers timers, long idleTimeoutMillis, String description, UniEmitter<? super T> emitter) {
    this.timers = timers;
    this.idleTimeoutMillis = idleTimeoutMillis;
    this.description = description;
    this.emitter = emitter;
  }

  void start(Function<Runnable, Uni<T>> call) {
    emitter.onTermination(this::cancel);
    startTimer();
    subscription =
        call.apply(this::onActivity)
            .subscribe()
            .with(
                item -> {
                  if (markEnded()) {
                    emitter.complete(item);
                  }
                },
                failure -> {
                  if (markEnded()) {
                    emitter.fail(failure);
                  }
                });
  }

  private void startTimer() {
    timer = timers.after(idleTimeoutMillis, this::onTimeout);
  }

  private void onActivity() {
    if (!ended) {
      timer.cancel();
      startTimer();
    }
  }

  private void onTimeout() {
    if (!ended) {
      cancel();
      emitter.fail(
          new PlatformException(
              PlatformException.Kind.OUTCOME_UNKNOWN, description + " timed out"));
    }
  }

  /** Cancels the call after a timeout or when its subscriber cancels. */
  private void cancel() {
    if (markEnded() && subscription != null) {
      subscription.cancel();
    }
  }

  private boolean markEnded() {
    if (ended) {
      return false;
    }
    ended = true;
    timer.cancel();
    return true;
  }
}
