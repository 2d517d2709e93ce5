package org.passhaven.simulator;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;

import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.passhaven.emulator.check.Report;
import org.passhaven.simulator.experiment.Simulation;
import org.passhaven.simulator.fault.Scenario;

class SimulationTest {
  private static final int STEPS = 3;
  private static final int PAIRED_SEEDS = 12;
  private static final int PAIRED_FAULTS = 4;

  private static Report run(String site, long seed, int randomFaults) throws Exception {
    Scenario scenario = new Scenario("test", site, STEPS, List.of(), randomFaults, 5_000);
    return new Simulation(scenario, seed, "default", UnaryOperator.identity()).run();
  }

  @ParameterizedTest
  @ValueSource(strings = {"necpa", "bensalah"})
  void calmSiteDeliversEverySample(String site) throws Exception {
    Report report = run(site, 1, 0);
    assertThat(report.toString(), report.violations(), equalTo(0L));
    assertThat(report.samplesDelivered(), greaterThan(0L));
  }

  @Test
  void sameSeedGivesSameReport() throws Exception {
    assertThat(run("necpa", 7, 4), equalTo(run("necpa", 7, 4)));
  }

  /** The small form of the documented sweep of 1,000 seeds; see docs/OPERATIONS.md. */
  @ParameterizedTest
  @ValueSource(strings = {"necpa", "bensalah"})
  void pairedFaultsBreakNoPromise(String site) throws Exception {
    for (long seed = 1; seed <= PAIRED_SEEDS; seed++) {
      Report report = run(site, seed, PAIRED_FAULTS);
      assertThat("seed " + seed + ": " + report, report.violations(), equalTo(0L));
    }
  }
}
