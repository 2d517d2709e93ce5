package org.passhaven.simulator.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.passhaven.simulator.gateway.GatewayWorld.Report;

/**
 * What a node of a large fleet asks of the store in calm. Calls and the wake-ups that they bring
 * are most of what a node costs that neither runs jobs nor serves callers.
 */
class FleetCallsTest {
  private static final int NODES = 96;
  private static final int SECONDS = 30;

  /** Ten ticks, two checks of the heartbeat, and pauses between reads. */
  private static final double MAX_TIMER_RUNS = 19;

  @Test
  void aNodeOfALargeFleetMakesFewCallsInCalm() {
    Report report = new GatewayWorld(1, NODES).play(List.of(), SECONDS * 1_000L);
    assertThat(report.violations(), empty());
    assertThat(report.wholeSteps(), equalTo(report.steps()));
    Map<String, String> perNodeSecond = new TreeMap<>();
    long all = 0;
    for (Map.Entry<String, Long> calls : report.storeCalls().entrySet()) {
      all += calls.getValue();
      perNodeSecond.put(
          calls.getKey(), String.format("%.2f", calls.getValue() / (double) (NODES * SECONDS)));
    }
    System.out.printf(
        "fleet: %.2f calls to the store a node and second %s%n",
        all / (double) (NODES * SECONDS), perNodeSecond);
    double timerRuns = report.timerRuns() / (double) (NODES * SECONDS);
    System.out.printf("fleet: %.2f timers a node and second%n", timerRuns);
    assertThat(timerRuns, lessThan(MAX_TIMER_RUNS));
    assertThat(perNodeSecond.toString(), all / (double) (NODES * SECONDS), lessThan(8.0));
  }
}
