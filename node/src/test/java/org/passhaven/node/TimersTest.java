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

/** Guards against calls that outlive their timeout and calls that are cancelled too early. */
class TimersTest {
  private final ManualTimers timers = new ManualTimers();
  private final List<String> outcomes = new ArrayList<>();
  private boolean cancelled;
  private Runnable reportProgress;

  private Cancellable subscribe(Uni<String> call) {
    return call.subscribe().with(outcomes::add, failure -> outcomes.add(failure.getMessage()));
  }

  private Uni<String> noResponse() {
    return Uni.createFrom().emitter(emitter -> emitter.onTermination(() -> cancelled = true));
  }

  @Test
  void aCallThatExceedsItsTimeoutFailsAndIsCancelled() {
    subscribe(timers.withTimeout(noResponse(), 100, "call"));
    timers.advance(99);
    assertThat(outcomes, empty());
    timers.advance(1);
    assertThat(outcomes, contains("call timed out"));
    assertThat(cancelled, is(true));
  }

  @Test
  void cancellingTheSubscriptionCancelsTheCall() {
    subscribe(timers.withTimeout(noResponse(), 100, "call")).cancel();
    assertThat(cancelled, is(true));
    timers.advance(200);
    assertThat(outcomes, empty());
  }

  @Test
  void aCallThatReportsProgressDoesNotTimeOut() {
    subscribe(
        timers.withIdleTimeout(
            progress -> {
              reportProgress = progress;
              return noResponse();
            },
            100,
            "call"));
    for (int i = 0; i < 10; i++) {
      timers.advance(90);
      reportProgress.run();
    }
    assertThat(outcomes, empty());
    timers.advance(100);
    assertThat(outcomes, contains("call timed out"));
    assertThat(cancelled, is(true));
  }
}
