package org.passhaven.core.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.passhaven.core.job.PlacementWorld.Report;

/**
 * Three trainers' runs on shared servers, each run scheduled by another node. All items of a step
 * begin at once, just as a weight version is named, which a few servers at a time load; a step ends
 * with the longest item of the groups that its trainer waits for.
 */
class PlacementTest {
  private static final int SEEDS = 4;
  private static final int SERVERS = 27;
  private static final long PLAY_MILLIS = 30_000;
  private static final int MAX_REFUSED_PER_LOAD = 3;
  private static final double STEP_DUE_MILLIS = 7_500;
  private static final double[] EVEN = {1};
  private static final double[] UNEVEN = {0.7, 0.7, 1.7};

  private static List<Report> play(double[] slowness, boolean hasMoments) {
    List<Report> reports = new ArrayList<>();
    for (int seed = 0; seed < SEEDS; seed++) {
      PlacementWorld world = new PlacementWorld(seed, SERVERS, slowness, hasMoments, true);
      world.addRun("m0", 11, 8, 10);
      world.addRun("m1", 8, 16, 8);
      world.addRun("m2", 4, 16, 4);
      reports.add(world.play(PLAY_MILLIS));
    }
    System.out.println("placement: " + reports);
    return reports;
  }

  /** Each load of weights may cause one refusal, and two more until its end is known. */
  @Test
  void aLoadRefusesFewGenerationsAndNotABurst() {
    for (double[] slowness : List.of(EVEN, UNEVEN)) {
      for (Report report : play(slowness, slowness == UNEVEN)) {
        assertThat(
            report.toString(),
            report.refused(),
            lessThanOrEqualTo(MAX_REFUSED_PER_LOAD * report.loads()));
      }
    }
  }

  /** If servers are slow for moments only, moving a generation does not pay off. */
  @Test
  void aMomentCutsNoGenerations() {
    for (Report report : play(EVEN, true)) {
      assertThat(report.toString(), report.moved(), lessThan(report.sent() / 100));
    }
  }

  /**
   * Trainers need a step within {@link #STEP_DUE_MILLIS}, for which slow servers must be avoided.
   */
  @Test
  void stepsEndInTimeThoughServersAreUneven() {
    for (Report report : play(UNEVEN, true)) {
      assertThat(report.toString(), report.millisTo90(), lessThan(STEP_DUE_MILLIS));
    }
  }
}
