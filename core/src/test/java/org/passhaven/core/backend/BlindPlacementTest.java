package org.passhaven.core.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.passhaven.core.backend.BlindPlacement.Figures;
import org.passhaven.core.backend.BlindPlacement.Way;

/** Compares ways to choose a server at nodes without knowledge of each other. */
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
      Figures byName = ways.get(Way.BY_NAME);
      Figures subset = ways.get(Way.SUBSET);
      Figures twoChoices = ways.get(Way.TWO_OF_ALL);
      assertThat(subset.maxOverMean(), lessThan(0.8 * byName.maxOverMean()));
      assertThat((double) subset.connections(), lessThan(1.2 * byName.connections()));
      assertThat(subset.connections(), lessThan(twoChoices.connections()));
      // Subsets also send calls to slower servers; only the wait for a place must not grow.
      assertThat(subset.callsP99Millis(), lessThan(byName.callsP99Millis() + 5));
      assertThat((double) subset.scoringsP99Millis(), lessThan(1.05 * byName.scoringsP99Millis()));
    }
  }
}
