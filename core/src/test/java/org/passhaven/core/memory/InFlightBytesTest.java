package org.passhaven.core.memory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Guards against overloading the memory of a server with large request bodies. */
class InFlightBytesTest {
  private static final long HALF = InFlightBytes.MAX_BYTES_PER_SERVER / 2;
  private final InFlightBytes inFlight = new InFlightBytes();

  @Test
  void bodiesBeyondTheBoundWaitUntilOneIsAnswered() {
    assertThat(inFlight.tryAcquire("a", HALF), is(true));
    assertThat(inFlight.tryAcquire("a", HALF), is(true));
    assertThat(inFlight.tryAcquire("a", 1), is(false));
    assertThat("another server has its own bound", inFlight.tryAcquire("b", HALF), is(true));
    inFlight.release("a", HALF);
    assertThat(inFlight.tryAcquire("a", HALF), is(true));
    inFlight.release("a", HALF);
    inFlight.release("a", HALF);
    inFlight.release("b", HALF);
    assertThat(inFlight.allBytes(), equalTo(0L));
  }

  @Test
  void aBodyLargerThanTheBoundIsSentAlone() {
    assertThat(inFlight.tryAcquire("a", 8 * HALF), is(true));
    assertThat(inFlight.tryAcquire("a", 1), is(false));
    inFlight.release("a", 8 * HALF);
    assertThat(inFlight.tryAcquire("a", HALF), is(true));
    assertThat(inFlight.tryAcquire("a", 8 * HALF), is(false));
  }

  @Test
  void ordinaryBodiesAreNotCounted() {
    assertThat(InFlightBytes.isCounted(800), is(false));
    assertThat(InFlightBytes.isCounted(ByteBudget.SMALL_BODY_BYTES), is(false));
    assertThat(InFlightBytes.isCounted(ByteBudget.SMALL_BODY_BYTES + 1L), is(true));
  }
}
