package org.passhaven.core.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.passhaven.core.backend.IndependentPlacementSimulation.Figures;
import org.passhaven.core.backend.IndependentPlacementSimulation.Strategy;

/** Guards against uneven load and excess connections when nodes choose servers independently. */
class IndependentPlacementTest {
  private static final int SEEDS = 10;

  private static Figures mean(Strategy strategy, int fleet) {
    double spread = 0;
    long p50 = 0;
    long p99 = 0;
    long scorings = 0;
    int connections = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      Figures one = IndependentPlacementSimulation.simulate(strategy, fleet, seed);
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
        strategy,
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
      Map<Strategy, Figures> figures = new EnumMap<>(Strategy.class);
      for (Strategy strategy : Strategy.values()) {
        figures.put(strategy, mean(strategy, fleet));
      }
      Figures byName = figures.get(Strategy.BY_NAME);
      Figures subset = figures.get(Strategy.SUBSET);
      Figures twoChoices = figures.get(Strategy.TWO_OF_ALL);
      assertThat(subset.maxOverMean(), lessThan(0.8 * byName.maxOverMean()));
      assertThat((double) subset.connections(), lessThan(1.2 * byName.connections()));
      assertThat(subset.connections(), lessThan(twoChoices.connections()));
      // Subsets also send calls to slower servers; only the wait for a slot must not grow.
      assertThat(subset.callsP99Millis(), lessThan(byName.callsP99Millis() + 5));
      assertThat((double) subset.scoringsP99Millis(), lessThan(1.05 * byName.scoringsP99Millis()));
    }
  }
}
