package org.passhaven.spi;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.Cancellable;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.function.Function;

/** One call that is given up after a silence; used on the thread of its timers. */
final class LimitedCall<T> {
  private final Timers timers;
  private final long silenceMillis;
  private final String what;
  private final UniEmitter<? super T> emitter;
  private Timers.Timer timer;
  private Cancellable running;
  private boolean over;

  LimitedCall(Timers timers, long silenceMillis, String what, UniEmitter<? super T> emitter) {
    this.timers = timers;
    this.silenceMillis = silenceMillis;
    this.what = what;
    this.emitter = emitter;
  }

  void begin(Function<Runnable, Uni<T>> call) {
    emitter.onTermination(this::abandon);
    waitOn();
    running =
        call.apply(this::onSignOfLife)
            .subscribe()
            .with(
                item -> {
                  if (end()) {
                    emitter.complete(item);
                  }
                },
                failure -> {
                  if (end()) {
                    emitter.fail(failure);
                  }
                });
  }

  private void waitOn() {
    timer = timers.after(silenceMillis, this::giveUp);
  }

  private void onSignOfLife() {
    if (!over) {
      timer.cancel();
      waitOn();
    }
  }

  private void giveUp() {
    if (!over) {
      abandon();
      emitter.fail(
          new PlatformException(PlatformException.Kind.OUTCOME_UNKNOWN, what + " timed out"));
    }
  }

  /** Nobody waits any more. */
  private void abandon() {
    if (end() && running != null) {
      running.cancel();
    }
  }

  private boolean end() {
    if (over) {
      return false;
    }
    over = true;
    timer.cancel();
    return true;
  }
}
