package org.passhaven.simulator;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;

import java.util.function.UnaryOperator;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.passhaven.emulator.check.Report;
import org.passhaven.simulator.experiment.Simulation;
import org.passhaven.simulator.fault.Scenario;
import org.passhaven.simulator.fault.ScenarioLoader;

/** Scenarios that once broke a promise, shortened; each failed before its fix. */
class RegressionTest {
  private static final String DIRECTORY = "src/test/resources/regressions/";

  @ParameterizedTest
  @CsvSource({
    "last-pull-lost, 182",
    "paused-while-server-leaves, 182",
    "stream-followed-again, 1022",
    "keeper-cut-off, 1001"
  })
  void keepsAllPromises(String name, long seed) throws Exception {
    Scenario scenario = ScenarioLoader.load(DIRECTORY + name + ".yaml");
    Report report = new Simulation(scenario, seed, "default", UnaryOperator.identity()).run();
    assertThat(report.toString(), report.violations(), equalTo(0L));
    assertThat(report.samplesDelivered(), greaterThan(0L));
  }
}
