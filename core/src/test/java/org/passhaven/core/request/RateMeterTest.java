package org.passhaven.core.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

class RateMeterTest {
  @Test
  void aSteadyRateIsMeasured() {
    RateMeter meter = new RateMeter(0);
    for (long now = 0; now <= 60_000; now += 50) {
      meter.recordEvent(now);
    }
    assertThat(meter.perSecond(60_000), closeTo(20, 0.5));
  }

  @Test
  void theRateDecaysWhenEventsStop() {
    RateMeter meter = new RateMeter(0);
    for (long now = 0; now <= 20_000; now += 50) {
      meter.recordEvent(now);
    }
    assertThat(meter.perSecond(50_000), lessThan(0.1));
  }
}
