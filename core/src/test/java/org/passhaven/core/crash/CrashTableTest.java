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
import org.passhaven.core.crash.CrashTable.Verdict;
import org.passhaven.protocol.crash.CrashNote;

class CrashTableTest {
  private static final String GUILTY = "f1";
  private static final String BESIDE = "f2";
  private static final int MILLION = 1_000_000;
  private final CrashTable table = new CrashTable();

  private void ended(String fingerprint, String server, long now) {
    table.onNote(new CrashNote.Ended(fingerprint, server), now);
  }

  private void trial(String fingerprint, int number, String node, long now) {
    table.onNote(new CrashNote.Trial(fingerprint, number, node, 1), now);
  }

  @Test
  void oneServerThatEndsHoldsNothingBackHoweverManyRanThere() {
    ended(GUILTY, "a", 0);
    ended(BESIDE, "a", 0);
    ended(BESIDE, "a", 5);
    assertThat(table.verdict(GUILTY, 10), instanceOf(Verdict.Alone.class));
    assertThat(table.verdict(BESIDE, 10), instanceOf(Verdict.Alone.class));
    assertThat(table.verdict("other", 10), instanceOf(Verdict.Clear.class));
  }

  @Test
  void afterTwoARequestWaitsForATrialAndEachNextOneIsLater() {
    ended(GUILTY, "a", 0);
    ended(GUILTY, "b", 100);
    long first = 100 + CrashTable.FIRST_PAUSE_MILLIS;
    assertThat(table.verdict(GUILTY, 101), equalTo(new Verdict.Held(first)));
    assertThat(table.verdict(GUILTY, first), equalTo(new Verdict.TrialDue(1)));
    trial(GUILTY, 1, "n", first);
    assertThat(table.verdict(GUILTY, first), equalTo(new Verdict.Held(first + 3 * (first - 100))));
    ended(GUILTY, "c", first + 50);
    assertThat(
        table.verdict(GUILTY, first + 60),
        equalTo(new Verdict.Held(first + 50 + 9 * CrashTable.FIRST_PAUSE_MILLIS)));
  }

  @Test
  void afterItsThirdCrashARequestIsSentThreeTimesInThreeMinutesAtMost() {
    long now = 0;
    int sentAfterThird = 0;
    long thirdAt = Long.MAX_VALUE;
    for (int crash = 1; now < thirdAt / 2 + 180_000 && crash < 9; crash++) {
      ended(GUILTY, "s" + crash, now);
      if (crash == 3) {
        thirdAt = now;
      }
      Verdict verdict = table.verdict(GUILTY, now);
      if (verdict instanceof Verdict.Held held) {
        now = held.untilMillis();
        trial(GUILTY, ((Verdict.TrialDue) table.verdict(GUILTY, now)).number(), "n", now);
        sentAfterThird += crash >= 3 && now <= thirdAt + 180_000 ? 1 : 0;
      }
    }
    assertThat(sentAfterThird, lessThanOrEqualTo(3));
    assertThat(table.verdict(GUILTY, now), instanceOf(Verdict.Held.class));
    long pause = ((Verdict.Held) table.verdict(GUILTY, now)).untilMillis() - now;
    assertThat(pause, lessThanOrEqualTo(CrashTable.MOST_PAUSE_MILLIS));
  }

  @Test
  void aRunThatEndsWellClearsARequestThatWasBesideTwoCrashes() {
    ended(BESIDE, "a", 0);
    ended(BESIDE, "b", 10);
    assertThat(table.verdict(BESIDE, 20), instanceOf(Verdict.Held.class));
    assertThat(table.keysOf(BESIDE), hasSize(2));
    table.remove(BESIDE);
    assertThat(table.verdict(BESIDE, 20), instanceOf(Verdict.Clear.class));
    assertThat(table.isEmpty(), is(true));
  }

  @Test
  void ofTwoNodesThatClaimATrialTheFirstHasItOnce() {
    ended(GUILTY, "a", 0);
    ended(GUILTY, "b", 0);
    trial(GUILTY, 1, "n", 5_000);
    trial(GUILTY, 1, "m", 5_001);
    assertThat(table.takeTrial(GUILTY, "m", 1), is(false));
    assertThat("an earlier start", table.takeTrial(GUILTY, "n", 2), is(false));
    assertThat(table.takeTrial(GUILTY, "n", 1), is(true));
    assertThat(table.takeTrial(GUILTY, "n", 1), is(false));
    table.giveTrialBack(GUILTY);
    assertThat("no server ran it", table.takeTrial(GUILTY, "n", 1), is(true));
  }

  @Test
  void ofAMillionRequestsUnderWhichOneServerEndedThoseUnderWhichTwoDidAreKept() {
    ended(GUILTY, "a", 0);
    ended(GUILTY, "b", 0);
    for (int i = 0; i < MILLION; i++) {
      ended("x" + i, "a", 1 + i / 1_000);
      if (table.isOverfull()) {
        table.due(1 + i / 1_000).forEach(table::remove);
      }
    }
    table.due(2_000).forEach(table::remove);
    assertThat(table.size(), equalTo(CrashTable.MOST_SUSPECTS));
    assertThat(table.crashes(GUILTY), equalTo(2));
  }

  @Test
  void nothingIsKeptForGood() {
    ended(GUILTY, "a", 0);
    ended(GUILTY, "b", 10);
    trial(GUILTY, 1, "n", 5_000);
    assertThat(table.due(5_000 + CrashTable.FORGET_MILLIS - 1), not(hasItem(GUILTY)));
    assertThat(table.due(5_000 + CrashTable.FORGET_MILLIS), hasItem(GUILTY));
    assertThat(table.keysOf(GUILTY), hasSize(3));
    table.retain(Set.of());
    assertThat(table.isEmpty(), is(true));
  }

  @Test
  void fingerprintsTellRequestsByAllThatServersSeeOfThem() {
    String one = RequestFingerprint.of("GET", "h", "/p?q=1", new byte[] {1});
    assertThat(RequestFingerprint.of("GET", "h", "/p?q=1", new byte[] {1}), equalTo(one));
    assertThat(one.length(), equalTo(32));
    assertThat(RequestFingerprint.of("POST", "h", "/p?q=1", new byte[] {1}), not(equalTo(one)));
    assertThat(RequestFingerprint.of("GET", "g", "/p?q=1", new byte[] {1}), not(equalTo(one)));
    assertThat(RequestFingerprint.of("GET", "h", "/p?q=2", new byte[] {1}), not(equalTo(one)));
    assertThat(RequestFingerprint.of("GET", "h", "/p?q=1", new byte[] {2}), not(equalTo(one)));
  }
}
