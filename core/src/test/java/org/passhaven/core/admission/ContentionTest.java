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
import org.passhaven.core.admission.SharedServers.Seen;
import org.passhaven.core.admission.SharedServers.Work;

/**
 * Admission against sending all at once, where scorings and callers share a few servers. Callers
 * arrive at random at many nodes; runners score the groups that have ended, each without knowledge
 * of the others.
 */
class ContentionTest {
  private static final double CALLERS_PER_SECOND = 8.4;
  private static final Work FEW = new Work(3, 43, 30);
  private static final Work MANY = new Work(12, 202, 25);
  private static final long LENGTH_MILLIS = 300_000;

  private static Seen play(Work work, int runners, int size, boolean isLimited, long seed) {
    SharedServers servers = new SharedServers(work, isLimited, seed);
    servers.callers(CALLERS_PER_SECOND, LENGTH_MILLIS);
    servers.bursts(runners, size, LENGTH_MILLIS);
    return servers.play();
  }

  /**
   * Usual load: groups of one or more runners that end at about the same time and fit into the
   * servers' places.
   */
  @ParameterizedTest
  @CsvSource({"1, 8", "1, 16", "2, 8", "2, 16", "3, 8", "3, 16"})
  void groupsThatFitIntoThePlacesNeitherWaitNorAreRejected(int runners, int size) {
    for (Work work : new Work[] {FEW, MANY}) {
      for (long seed = 1; seed <= 3; seed++) {
        Seen unlimited = play(work, runners, size, false, seed);
        Seen limited = play(work, runners, size, true, seed);
        assertThat(limited.waits, equalTo(0));
        assertThat(limited.rejects, equalTo(0));
        assertThat(limited.callers, equalTo(unlimited.callers));
        assertThat(limited.bursts, equalTo(unlimited.bursts));
      }
    }
  }

  /** Bursts of more scorings than the servers have places, as after an outage. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3})
  void behindLongBurstsCallersWaitLessAndTheLastScoringIsNoLater(int runners) {
    for (long seed = 1; seed <= 3; seed++) {
      Seen unlimited = play(FEW, runners, 48, false, seed);
      Seen limited = play(FEW, runners, 48, true, seed);
      assertThat(
          limited.callerPart(0.99), lessThanOrEqualTo((long) (0.75 * unlimited.callerPart(0.99))));
      assertThat(limited.callersRefused, equalTo(0));
      assertThat(limited.burstPart(0.99), lessThanOrEqualTo(unlimited.burstPart(0.99)));
      assertThat(limited.serverRefusals, equalTo(0));
      assertThat(limited.waits, greaterThan(0));
    }
  }

  /** The bursts of one runner are smaller than the concurrency limit at twelve servers. */
  @Test
  void atManyServersNothingIsPaced() {
    Seen unlimited = play(MANY, 3, 48, false, 1);
    Seen limited = play(MANY, 3, 48, true, 1);
    assertThat(limited.waits, equalTo(0));
    assertThat(limited.callers, equalTo(unlimited.callers));
  }

  /**
   * Slow servers, whose places are needed all the more: the limit must not fall because of them.
   */
  @ParameterizedTest
  @CsvSource({"1, 16, 1", "1, 16, 3", "3, 16, 1", "3, 16, 3", "1, 48, 1", "1, 48, 3"})
  void serversThatTurnSlowMakeNoStepLater(int runners, int size, int slowServers) {
    for (long seed = 1; seed <= 3; seed++) {
      Seen unlimited = playSlow(runners, size, slowServers, false, seed);
      Seen limited = playSlow(runners, size, slowServers, true, seed);
      String seen = unlimited + " / " + limited;
      assertThat(seen, limited.burstPart(0.5), lessThan(unlimited.burstPart(0.5) + 10));
      assertThat(seen, limited.burstPart(0.99), lessThan(unlimited.burstPart(0.99) + 10));
      assertThat(seen, limited.callerPart(0.99), lessThanOrEqualTo(unlimited.callerPart(0.99)));
    }
  }

  private static Seen playSlow(
      int runners, int size, int slowServers, boolean isLimited, long seed) {
    SharedServers servers = new SharedServers(FEW, isLimited, seed);
    servers.callers(CALLERS_PER_SECOND, 20_000);
    servers.bursts(runners, size, 20_000);
    servers.slow(6_000, slowServers, 3);
    return servers.play();
  }
}
