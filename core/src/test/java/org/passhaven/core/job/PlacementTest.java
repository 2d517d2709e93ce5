package org.passhaven.core.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.passhaven.core.job.PlacementSimulation.Report;

/**
 * Guards against late steps, needless moves and bursts of refusals when three runs with an owner
 * each share the servers.
 */
class PlacementTest {
  private static final int SEEDS = 4;
  private static final int SERVERS = 27;
  private static final long SIMULATED_MILLIS = 30_000;
  private static final int MAX_REFUSALS_PER_LOAD = 3;
  private static final double MAX_STEP_MILLIS = 7_500;
  private static final double[] EQUAL_SPEED = {1};
  private static final double[] MIXED_SPEED = {0.7, 0.7, 1.7};

  private static List<Report> simulate(double[] slowness, boolean hasSlowdowns) {
    List<Report> reports = new ArrayList<>();
    for (int seed = 0; seed < SEEDS; seed++) {
      PlacementSimulation simulation =
          new PlacementSimulation(seed, SERVERS, slowness, hasSlowdowns, true);
      simulation.addRun("m0", 11, 8, 10);
      simulation.addRun("m1", 8, 16, 8);
      simulation.addRun("m2", 4, 16, 4);
      reports.add(simulation.simulate(SIMULATED_MILLIS));
    }
    System.out.println("placement: " + reports);
    return reports;
  }

  /** Each load may cause one refusal, and two more until the owners know that it has ended. */
  @Test
  void loadingServersRefuseFewGenerations() {
    for (double[] slowness : List.of(EQUAL_SPEED, MIXED_SPEED)) {
      for (Report report : simulate(slowness, slowness == MIXED_SPEED)) {
        assertThat(
            report.toString(),
            report.refused(),
            lessThanOrEqualTo(MAX_REFUSALS_PER_LOAD * report.loads()));
      }
    }
  }

  @Test
  void transientSlownessMovesFewGenerations() {
    for (Report report : simulate(EQUAL_SPEED, true)) {
      assertThat(report.toString(), report.moved(), lessThan(report.sent() / 100));
    }
  }

  @Test
  void stepsEndInTimeOnServersOfMixedSpeed() {
    for (Report report : simulate(MIXED_SPEED, true)) {
      assertThat(report.toString(), report.millisTo90(), lessThan(MAX_STEP_MILLIS));
    }
  }
}
