package org.passhaven.core.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;

import org.junit.jupiter.api.Test;

/** Guards against wrong length estimates of texts with and without a hint. */
class LengthEstimatorTest {
  private final LengthEstimator estimator = new LengthEstimator();

  @Test
  void hintIsScaledByEarlierTexts() {
    estimator.onCompleted(100, 2);
    estimator.onCompleted(300, 6);
    assertThat(estimator.expectedEvents(500), closeTo(10, 0.001));
  }

  @Test
  void meanIsExpectedWithoutAHint() {
    estimator.onCompleted(0, 10);
    estimator.onCompleted(0, 30);
    assertThat(estimator.expectedEvents(0), closeTo(20, 0.1));
  }

  @Test
  void textLongerThanExpectedCountsAsHalfDone() {
    estimator.onCompleted(100, 10);
    assertThat(estimator.remainingEvents(100, 4), closeTo(6, 0.001));
    assertThat(estimator.remainingEvents(100, 40), equalTo(40.0));
  }
}
