package org.passhaven.core.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Guards against a read limit that leaves its bounds or reacts wrongly to lost reads. */
class ReadConcurrencyLimiterTest {
  private final ReadConcurrencyLimiter limiter = new ReadConcurrencyLimiter();

  private void completeReads(int count, long durationMillis) {
    for (int i = 0; i < count; i++) {
      limiter.onReadCompleted(durationMillis);
    }
  }

  @Test
  void fastReadsRaiseTheLimitUpToTheMaximum() {
    assertThat(limiter.maxConcurrentReads(), is(4));
    completeReads(2, 40);
    assertThat(limiter.maxConcurrentReads(), is(6));
    completeReads(20, 40);
    assertThat(limiter.maxConcurrentReads(), is(8));
  }

  @Test
  void slowReadsLowerTheLimitToOne() {
    completeReads(2, 900);
    assertThat(limiter.maxConcurrentReads(), is(2));
    completeReads(20, 900);
    assertThat(limiter.maxConcurrentReads(), is(1));
  }

  @Test
  void readsOfMediumDurationKeepTheLimit() {
    completeReads(20, 500);
    assertThat(limiter.maxConcurrentReads(), is(4));
  }

  @Test
  void readsLostTogetherHalveTheLimitOnce() {
    completeReads(4, 40);
    limiter.onReadLost(100, 1_300);
    limiter.onReadLost(100, 1_300);
    limiter.onReadLost(1_200, 2_400);
    assertThat(limiter.maxConcurrentReads(), is(4));
    limiter.onReadLost(1_300, 2_500);
    assertThat(limiter.maxConcurrentReads(), is(2));
  }
}
