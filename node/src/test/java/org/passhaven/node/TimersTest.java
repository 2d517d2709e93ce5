package org.passhaven.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.Cancellable;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Limits of calls. */
class TimersTest {
  private final ManualTimers timers = new ManualTimers();
  private final List<String> ends = new ArrayList<>();
  private boolean cancelled;
  private Runnable signOfLife;

  private Cancellable subscribe(Uni<String> call) {
    return call.subscribe().with(ends::add, failure -> ends.add(failure.getMessage()));
  }

  private Uni<String> noAnswer() {
    return Uni.createFrom().emitter(emitter -> emitter.onTermination(() -> cancelled = true));
  }

  @Test
  void aCallPastItsLimitIsGivenUpAndCancelled() {
    subscribe(timers.withTimeout(noAnswer(), 100, "call"));
    timers.advance(99);
    assertThat(ends, empty());
    timers.advance(1);
    assertThat(ends, contains("call timed out"));
    assertThat(cancelled, is(true));
  }

  @Test
  void aCallThatNobodyWaitsForIsCancelledAtOnce() {
    subscribe(timers.withTimeout(noAnswer(), 100, "call")).cancel();
    assertThat(cancelled, is(true));
    timers.advance(200);
    assertThat(ends, empty());
  }

  @Test
  void aCallThatShowsSignsOfLifeIsNotGivenUp() {
    subscribe(
        timers.withIdleTimeout(
            alive -> {
              signOfLife = alive;
              return noAnswer();
            },
            100,
            "call"));
    for (int i = 0; i < 10; i++) {
      timers.advance(90);
      signOfLife.run();
    }
    assertThat(ends, empty());
    timers.advance(100);
    assertThat(ends, contains("call timed out"));
    assertThat(cancelled, is(true));
  }
}
