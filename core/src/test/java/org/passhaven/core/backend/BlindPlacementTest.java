package org.passhaven.core.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.passhaven.core.backend.BlindPlacement.Figures;
import org.passhaven.core.backend.BlindPlacement.Way;

/** Ways to choose a server against each other, at nodes that know nothing of each other. */
class BlindPlacementTest {
  private static final int SEEDS = 10;

  private static Figures mean(Way way, int fleet) {
    double spread = 0;
    long p50 = 0;
    long p99 = 0;
    long scorings = 0;
    int connections = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      Figures one = BlindPlacement.play(way, fleet, seed);
      spread += one.maxOverMean() / SEEDS;
      p50 += one.callsP50Millis();
      p99 += one.callsP99Millis();
      scorings += one.scoringsP99Millis();
      connections += one.connections();
    }
    Figures mean =
        new Figures(spread, p50 / SEEDS, p99 / SEEDS, scorings / SEEDS, connections / SEEDS);
    System.out.printf(
        Locale.ROOT,
        "%-13s %2d nodes: busiest/mean %.2f, calls p50 %d ms p99 %d ms, scorings p99 %d ms,"
            + " %d connections%n",
        way,
        fleet,
        mean.maxOverMean(),
        mean.callsP50Millis(),
        mean.callsP99Millis(),
        mean.scoringsP99Millis(),
        mean.connections());
    return mean;
  }

  @Test
  void subsetsSpreadBetterThanNamesAndOpenFewerConnectionsThanRandomChoices() {
    for (int fleet : new int[] {90, 30, 5}) {
      Map<Way, Figures> ways = new EnumMap<>(Way.class);
      for (Way way : Way.values()) {
        ways.put(way, mean(way, fleet));
      }
      Figures before = ways.get(Way.BY_NAME);
      Figures now = ways.get(Way.SUBSET);
      Figures twoChoices = ways.get(Way.TWO_OF_ALL);
      assertThat(now.maxOverMean(), lessThan(0.8 * before.maxOverMean()));
      assertThat((double) now.connections(), lessThan(1.2 * before.connections()));
      assertThat(now.connections(), lessThan(twoChoices.connections()));
      // Slower servers get their part of the calls now; what may not grow is the wait for a place.
      assertThat(now.callsP99Millis(), lessThan(before.callsP99Millis() + 5));
      assertThat((double) now.scoringsP99Millis(), lessThan(1.05 * before.scoringsP99Millis()));
    }
  }
}
