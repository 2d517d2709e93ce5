package org.passhaven.core.crash;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.passhaven.core.crash.CrashTable.RequestDecision;
import org.passhaven.protocol.crash.CrashNote;

class CrashTableTest {
  private static final String CRASHING = "f1";
  private static final String CONCURRENT = "f2";
  private static final int MILLION = 1_000_000;
  private final CrashTable table = new CrashTable();

  private void recordCrash(String fingerprint, String server, long now) {
    table.onNote(new CrashNote.Crashed(fingerprint, server), now);
  }

  private void recordTrial(String fingerprint, int number, String node, long now) {
    table.onNote(new CrashNote.Trial(fingerprint, number, node, 1), now);
  }

  @Test
  void oneServerCrashQuarantinesNoRequest() {
    recordCrash(CRASHING, "a", 0);
    recordCrash(CONCURRENT, "a", 0);
    recordCrash(CONCURRENT, "a", 5);
    assertThat(table.decide(CRASHING, 10), instanceOf(RequestDecision.SingleServer.class));
    assertThat(table.decide(CONCURRENT, 10), instanceOf(RequestDecision.SingleServer.class));
    assertThat(table.decide("other", 10), instanceOf(RequestDecision.Unsuspected.class));
  }

  @Test
  void afterTwoCrashesARequestWaitsForTrialsWithGrowingPauses() {
    recordCrash(CRASHING, "a", 0);
    recordCrash(CRASHING, "b", 100);
    long first = 100 + CrashTable.FIRST_PAUSE_MILLIS;
    assertThat(table.decide(CRASHING, 101), equalTo(new RequestDecision.Quarantined(first)));
    assertThat(table.decide(CRASHING, first), equalTo(new RequestDecision.TrialDue(1)));
    recordTrial(CRASHING, 1, "n", first);
    assertThat(
        table.decide(CRASHING, first),
        equalTo(new RequestDecision.Quarantined(first + 3 * (first - 100))));
    recordCrash(CRASHING, "c", first + 50);
    assertThat(
        table.decide(CRASHING, first + 60),
        equalTo(new RequestDecision.Quarantined(first + 50 + 9 * CrashTable.FIRST_PAUSE_MILLIS)));
  }

  @Test
  void afterItsThirdCrashARequestIsSentAtMostThreeTimesInThreeMinutes() {
    long now = 0;
    int sentAfterThird = 0;
    long thirdAt = Long.MAX_VALUE;
    for (int crash = 1; now < thirdAt / 2 + 180_000 && crash < 9; crash++) {
      recordCrash(CRASHING, "s" + crash, now);
      if (crash == 3) {
        thirdAt = now;
      }
      RequestDecision decision = table.decide(CRASHING, now);
      if (decision instanceof RequestDecision.Quarantined quarantined) {
        now = quarantined.untilMillis();
        recordTrial(
            CRASHING, ((RequestDecision.TrialDue) table.decide(CRASHING, now)).number(), "n", now);
        sentAfterThird += crash >= 3 && now <= thirdAt + 180_000 ? 1 : 0;
      }
    }
    assertThat(sentAfterThird, lessThanOrEqualTo(3));
    assertThat(table.decide(CRASHING, now), instanceOf(RequestDecision.Quarantined.class));
    long pause = ((RequestDecision.Quarantined) table.decide(CRASHING, now)).untilMillis() - now;
    assertThat(pause, lessThanOrEqualTo(CrashTable.MAX_PAUSE_MILLIS));
  }

  @Test
  void aSuccessfulRunClearsARequestThatRanDuringTwoCrashes() {
    recordCrash(CONCURRENT, "a", 0);
    recordCrash(CONCURRENT, "b", 10);
    assertThat(table.decide(CONCURRENT, 20), instanceOf(RequestDecision.Quarantined.class));
    assertThat(table.keysOf(CONCURRENT), hasSize(2));
    table.remove(CONCURRENT);
    assertThat(table.decide(CONCURRENT, 20), instanceOf(RequestDecision.Unsuspected.class));
    assertThat(table.isEmpty(), is(true));
  }

  @Test
  void theFirstNodeToClaimATrialTakesItOnce() {
    recordCrash(CRASHING, "a", 0);
    recordCrash(CRASHING, "b", 0);
    recordTrial(CRASHING, 1, "n", 5_000);
    recordTrial(CRASHING, 1, "m", 5_001);
    assertThat(table.takeTrial(CRASHING, "m", 1), is(false));
    assertThat("another incarnation", table.takeTrial(CRASHING, "n", 2), is(false));
    assertThat(table.takeTrial(CRASHING, "n", 1), is(true));
    assertThat(table.takeTrial(CRASHING, "n", 1), is(false));
    table.returnTrial(CRASHING);
    assertThat("no server ran it", table.takeTrial(CRASHING, "n", 1), is(true));
  }

  @Test
  void evictionKeepsRequestsWithMoreCrashes() {
    recordCrash(CRASHING, "a", 0);
    recordCrash(CRASHING, "b", 0);
    for (int i = 0; i < MILLION; i++) {
      recordCrash("x" + i, "a", 1 + i / 1_000);
      if (table.isEvictionDue()) {
        table.requestsToRemove(1 + i / 1_000).forEach(table::remove);
      }
    }
    table.requestsToRemove(2_000).forEach(table::remove);
    assertThat(table.size(), equalTo(CrashTable.MAX_SUSPECTS));
    assertThat(table.countCrashes(CRASHING), equalTo(2));
  }

  @Test
  void entriesExpire() {
    recordCrash(CRASHING, "a", 0);
    recordCrash(CRASHING, "b", 10);
    recordTrial(CRASHING, 1, "n", 5_000);
    assertThat(
        table.requestsToRemove(5_000 + CrashTable.EXPIRY_MILLIS - 1), not(hasItem(CRASHING)));
    assertThat(table.requestsToRemove(5_000 + CrashTable.EXPIRY_MILLIS), hasItem(CRASHING));
    assertThat(table.keysOf(CRASHING), hasSize(3));
    table.retainAll(Set.of());
    assertThat(table.isEmpty(), is(true));
  }

  @Test
  void fingerprintsDependOnAllThatServersReceive() {
    String one = RequestFingerprint.of("GET", "h", "/p?q=1", new byte[] {1});
    assertThat(RequestFingerprint.of("GET", "h", "/p?q=1", new byte[] {1}), equalTo(one));
    assertThat(one.length(), equalTo(32));
    assertThat(RequestFingerprint.of("POST", "h", "/p?q=1", new byte[] {1}), not(equalTo(one)));
    assertThat(RequestFingerprint.of("GET", "g", "/p?q=1", new byte[] {1}), not(equalTo(one)));
    assertThat(RequestFingerprint.of("GET", "h", "/p?q=2", new byte[] {1}), not(equalTo(one)));
    assertThat(RequestFingerprint.of("GET", "h", "/p?q=1", new byte[] {2}), not(equalTo(one)));
  }
}
