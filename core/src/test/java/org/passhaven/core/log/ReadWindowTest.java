package org.passhaven.core.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class ReadWindowTest {
  private final ReadWindow window = new ReadWindow();

  private void answer(int times, long tookMillis) {
    for (int i = 0; i < times; i++) {
      window.onAnswered(tookMillis);
    }
  }

  @Test
  void quickAnswersOpenItUpToABound() {
    assertThat(window.reads(), is(4));
    answer(2, 40);
    assertThat(window.reads(), is(6));
    answer(20, 40);
    assertThat(window.reads(), is(8));
  }

  @Test
  void slowAnswersCloseItButForOne() {
    answer(2, 900);
    assertThat(window.reads(), is(2));
    answer(20, 900);
    assertThat(window.reads(), is(1));
  }

  @Test
  void answersInBetweenChangeNothing() {
    answer(20, 500);
    assertThat(window.reads(), is(4));
  }

  @Test
  void readsThatAreLostTogetherHalveItOnce() {
    answer(4, 40);
    window.onLost(100, 1_300);
    window.onLost(100, 1_300);
    window.onLost(1_200, 2_400);
    assertThat(window.reads(), is(4));
    window.onLost(1_300, 2_500);
    assertThat(window.reads(), is(2));
  }
}
