package org.passhaven.core.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.passhaven.core.admission.SharedServers.Results;
import org.passhaven.core.admission.SharedServers.Work;

/**
 * Compares admission control with sending all requests at once, where scorings and callers share a
 * few servers. Guards against limits that delay callers or bursts of scorings.
 */
class ContentionTest {
  private static final double CALLERS_PER_SECOND = 8.4;
  private static final Work FEW = new Work(3, 43, 30);
  private static final Work MANY = new Work(12, 202, 25);
  private static final long LENGTH_MILLIS = 300_000;

  private static Results simulate(Work work, int runners, int size, boolean isLimited, long seed) {
    SharedServers servers = new SharedServers(work, isLimited, seed);
    servers.callers(CALLERS_PER_SECOND, LENGTH_MILLIS);
    servers.bursts(runners, size, LENGTH_MILLIS);
    return servers.simulate();
  }

  /**
   * Usual load: groups of one or more runners that end at about the same time and fit into the
   * servers' slots.
   */
  @ParameterizedTest
  @CsvSource({"1, 8", "1, 16", "2, 8", "2, 16", "3, 8", "3, 16"})
  void groupsThatFitIntoTheSlotsNeitherWaitNorAreRejected(int runners, int size) {
    for (Work work : new Work[] {FEW, MANY}) {
      for (long seed = 1; seed <= 3; seed++) {
        Results unlimited = simulate(work, runners, size, false, seed);
        Results limited = simulate(work, runners, size, true, seed);
        assertThat(limited.waits, equalTo(0));
        assertThat(limited.rejects, equalTo(0));
        assertThat(limited.callers, equalTo(unlimited.callers));
        assertThat(limited.bursts, equalTo(unlimited.bursts));
      }
    }
  }

  /** Bursts of more scorings than the servers have slots, as after an outage. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3})
  void callersWaitLessBehindLongBurstsAndTheLastScoringIsNoLater(int runners) {
    for (long seed = 1; seed <= 3; seed++) {
      Results unlimited = simulate(FEW, runners, 48, false, seed);
      Results limited = simulate(FEW, runners, 48, true, seed);
      assertThat(
          limited.callerQuantile(0.99),
          lessThanOrEqualTo((long) (0.75 * unlimited.callerQuantile(0.99))));
      assertThat(limited.callersRefused, equalTo(0));
      assertThat(limited.burstQuantile(0.99), lessThanOrEqualTo(unlimited.burstQuantile(0.99)));
      assertThat(limited.serverRefusals, equalTo(0));
      assertThat(limited.waits, greaterThan(0));
    }
  }

  /** The bursts of one runner are smaller than the concurrency limit at twelve servers. */
  @Test
  void requestsDoNotWaitAtManyServers() {
    Results unlimited = simulate(MANY, 3, 48, false, 1);
    Results limited = simulate(MANY, 3, 48, true, 1);
    assertThat(limited.waits, equalTo(0));
    assertThat(limited.callers, equalTo(unlimited.callers));
  }

  /** Slow servers need all their slots, so slow responses must not lower the limit. */
  @ParameterizedTest
  @CsvSource({"1, 16, 1", "1, 16, 3", "3, 16, 1", "3, 16, 3", "1, 48, 1", "1, 48, 3"})
  void slowServersDoNotDelayBurstsOrCallers(int runners, int size, int slowServers) {
    for (long seed = 1; seed <= 3; seed++) {
      Results unlimited = simulateSlowServers(runners, size, slowServers, false, seed);
      Results limited = simulateSlowServers(runners, size, slowServers, true, seed);
      String results = unlimited + " / " + limited;
      assertThat(results, limited.burstQuantile(0.5), lessThan(unlimited.burstQuantile(0.5) + 10));
      assertThat(
          results, limited.burstQuantile(0.99), lessThan(unlimited.burstQuantile(0.99) + 10));
      assertThat(
          results, limited.callerQuantile(0.99), lessThanOrEqualTo(unlimited.callerQuantile(0.99)));
    }
  }

  private static Results simulateSlowServers(
      int runners, int size, int slowServers, boolean isLimited, long seed) {
    SharedServers servers = new SharedServers(FEW, isLimited, seed);
    servers.callers(CALLERS_PER_SECOND, 20_000);
    servers.bursts(runners, size, 20_000);
    servers.slow(6_000, slowServers, 3);
    return servers.simulate();
  }
}
