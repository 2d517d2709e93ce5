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
 * The load of a site whose scorings and callers share a few plain servers: 8.4 callers a second
 * over all nodes, and runners that each score a group that has ended, blind to each other. Compared
 * with sending all at once, up to 48.
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
   * Calm, as at all sites with three plain servers of 6 places: groups of 8 and 16, of one runner,
   * or of three that end within 100 ms of each other.
   */
  @ParameterizedTest
  @CsvSource({"1, 8", "1, 16", "2, 8", "2, 16", "3, 8", "3, 16"})
  void groupsThatFitIntoThePlacesNeitherWaitNorAreRejected(int runners, int size) {
    for (Work work : new Work[] {FEW, MANY}) {
      for (long seed = 1; seed <= 3; seed++) {
        Seen before = play(work, runners, size, false, seed);
        Seen limited = play(work, runners, size, true, seed);
        assertThat(limited.waits, equalTo(0));
        assertThat(limited.rejects, equalTo(0));
        assertThat(limited.callers, equalTo(before.callers));
        assertThat(limited.bursts, equalTo(before.bursts));
      }
    }
  }

  /** Several groups that end at once, as after an outage: more than 18 places take. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3})
  void behindLongBurstsCallersWaitLessAndTheLastScoringIsNoLater(int runners) {
    for (long seed = 1; seed <= 3; seed++) {
      Seen before = play(FEW, runners, 48, false, seed);
      Seen limited = play(FEW, runners, 48, true, seed);
      assertThat(
          limited.callerPart(0.99), lessThanOrEqualTo((long) (0.75 * before.callerPart(0.99))));
      assertThat(limited.callersRefused, equalTo(0));
      assertThat(limited.burstPart(0.99), lessThanOrEqualTo(before.burstPart(0.99)));
      assertThat(limited.serverRefusals, equalTo(0));
      assertThat(limited.waits, greaterThan(0));
    }
  }

  /** 72 places: what runners hand over at a time is less than one may have there. */
  @Test
  void atManyServersNothingIsPaced() {
    Seen before = play(MANY, 3, 48, false, 1);
    Seen limited = play(MANY, 3, 48, true, 1);
    assertThat(limited.waits, equalTo(0));
    assertThat(limited.callers, equalTo(before.callers));
  }

  /** One or all of the servers take three times as long: their places are needed all the more. */
  @ParameterizedTest
  @CsvSource({"1, 16, 1", "1, 16, 3", "3, 16, 1", "3, 16, 3", "1, 48, 1", "1, 48, 3"})
  void serversThatTurnSlowMakeNoStepLater(int runners, int size, int slowServers) {
    for (long seed = 1; seed <= 3; seed++) {
      Seen before = playSlow(runners, size, slowServers, false, seed);
      Seen limited = playSlow(runners, size, slowServers, true, seed);
      String seen = before + " / " + limited;
      assertThat(seen, limited.burstPart(0.5), lessThan(before.burstPart(0.5) + 10));
      assertThat(seen, limited.burstPart(0.99), lessThan(before.burstPart(0.99) + 10));
      assertThat(seen, limited.callerPart(0.99), lessThanOrEqualTo(before.callerPart(0.99)));
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
