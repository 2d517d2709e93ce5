package org.passhaven.core.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;

import org.junit.jupiter.api.Test;

class LimitsTest {
  @Test
  void retriesAreLimitedToAFractionOfTheRequests() {
    RetryBudget budget = new RetryBudget(100, 2);
    assertThat("first saved retry", budget.trySpend());
    assertThat("second saved retry", budget.trySpend());
    assertThat("budget spent", !budget.trySpend());
    for (int i = 0; i < 10; i++) {
      budget.onRequest();
    }
    assertThat("one retry earned", budget.trySpend());
    assertThat("only one retry earned", !budget.trySpend());
  }

  @Test
  void acquireReturnsTheTimeUntilTheNextToken() {
    RateLimiter limiter = new RateLimiter(10, 1, 0);
    assertThat(limiter.acquire(0), equalTo(0L));
    assertThat(limiter.acquire(0), equalTo(100L));
    assertThat(limiter.acquire(100), equalTo(0L));
    assertThat(limiter.acquire(150), greaterThan(0L));
  }
}
