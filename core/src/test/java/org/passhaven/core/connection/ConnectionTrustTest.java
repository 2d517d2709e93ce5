package org.passhaven.core.connection;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.passhaven.core.connection.ConnectionTrust.Connection;

class ConnectionTrustTest {
  private static final String A = "10.0.0.1:1";
  private static final String B = "10.0.0.2:1";
  private static final String C = "10.0.0.3:1";
  private static final String D = "10.0.0.4:1";
  private final ConnectionTrust trust = new ConnectionTrust();

  /** A connection that was opened at 0 and answered at a time. */
  private Connection kept(String address, long heardAtMillis) {
    Connection connection = trust.onOpened(address, 0);
    trust.onHeard(connection, heardAtMillis);
    return connection;
  }

  @Test
  void aSilenceMakesOlderConnectionsToItsAddressDoubtfulAndNoOthers() {
    Connection silent = kept(A, 100);
    Connection older = kept(A, 200);
    Connection heardSince = kept(A, 1_050);
    Connection elsewhere = kept(B, 100);
    assertThat(trust.onSilent(silent, 1_000, 1_000, 1_200), is(false));
    assertThat(trust.isTrusted(silent), is(false));
    assertThat(trust.isTrusted(older), is(false));
    assertThat(trust.isTrusted(heardSince), is(true));
    assertThat(trust.isTrusted(elsewhere), is(true));
    assertThat(trust.isTrusted(trust.onOpened(A, 1_200)), is(true));
  }

  @Test
  void theSilentOneIsDoubtfulAlsoWhereSomethingCameInTheMomentBefore() {
    Connection silent = kept(A, 1_000);
    trust.onSilent(silent, 1_000, 1_000, 1_800);
    assertThat(trust.isTrusted(silent), is(false));
  }

  @Test
  void whatIsHeardIsOutOfDoubt() {
    Connection silent = kept(A, 100);
    Connection older = kept(A, 200);
    trust.onSilent(silent, 1_000, 1_000, 1_200);
    trust.onHeard(older, 1_300);
    assertThat(trust.isTrusted(older), is(true));
  }

  @Test
  void aConnectionThatWasOpenedForTheCallAndNeverAnsweredTellsNothingOfOthers() {
    Connection older = kept(A, 200);
    Connection unheard = trust.onOpened(A, 900);
    assertThat(trust.onSilent(unheard, 899, 901, 2_000), is(false));
    assertThat(trust.isTrusted(older), is(true));
  }

  @Test
  void oneThatWasOpenBeforeAndNotUsedIsAsGoodAsOneThatAnswered() {
    Connection older = kept(A, 200);
    Connection unused = trust.onOpened(A, 300);
    trust.onSilent(unused, 899, 901, 2_000);
    assertThat(trust.isTrusted(older), is(false));
    assertThat(trust.isTrusted(unused), is(false));
  }

  @Test
  void whatWasHeardInTheMomentInWhichTheSilentCallWasSentIsInDoubtToo() {
    Connection other = kept(A, 1_000);
    trust.onSilent(kept(A, 900), 1_000, 1_000, 1_400);
    assertThat(trust.isTrusted(other), is(false));
  }

  @Test
  void silenceAtTwoAddressesPutsAllInDoubt() {
    Connection elsewhere = kept(C, 900);
    trust.onSilent(kept(A, 100), 1_000, 1_000, 1_200);
    assertThat(trust.isTrusted(elsewhere), is(true));
    assertThat(trust.onSilent(kept(B, 100), 1_100, 1_100, 1_400), is(true));
    assertThat(trust.isTrusted(elsewhere), is(false));
    assertThat(trust.isTrusted(trust.onOpened(C, 1_400)), is(true));
  }

  @Test
  void callsThatWaitLongerMakeNoSecondEventOfIt() {
    Connection third = kept(C, 900);
    Connection fourth = kept(D, 900);
    trust.onSilent(kept(A, 100), 1_000, 1_000, 1_200);
    trust.onSilent(kept(B, 100), 1_100, 1_100, 1_400);
    Connection renewed = trust.onOpened(A, 1_450);
    assertThat(trust.onSilent(third, 1_000, 1_000, 3_000), is(false));
    assertThat(trust.onSilent(fourth, 1_050, 1_050, 3_000), is(false));
    assertThat(trust.isTrusted(renewed), is(true));
  }

  @Test
  void slowServersPutNothingElseInDoubtWhileAnOlderConnectionIsHeard() {
    Connection sound = kept(C, 900);
    trust.onSilent(kept(A, 100), 1_000, 1_000, 1_200);
    trust.onHeard(sound, 1_300);
    assertThat(trust.onSilent(kept(B, 100), 1_100, 1_100, 1_400), is(false));
    assertThat(trust.isTrusted(sound), is(true));
  }

  @Test
  void newConnectionsThatAnswerSpeakForNoOlderOne() {
    Connection elsewhere = kept(C, 900);
    trust.onSilent(kept(A, 100), 1_000, 1_000, 1_200);
    trust.onHeard(trust.onOpened(B, 1_150), 1_390);
    assertThat(trust.onSilent(kept(B, 100), 1_100, 1_100, 1_400), is(true));
    assertThat(trust.isTrusted(elsewhere), is(false));
  }

  @Test
  void silencesThatLieApartAreNotOneEvent() {
    trust.onSilent(kept(A, 100), 1_000, 1_000, 1_200);
    assertThat(trust.onSilent(kept(B, 100), 2_100, 2_100, 2_300), is(false));
  }

  @Test
  void theDoubtOfAnAddressIsForgottenWithItsLastConnection() {
    Connection silent = kept(A, 100);
    trust.onSilent(silent, 5_000, 5_000, 5_200);
    trust.onClosed(silent);
    assertThat(trust.isTrusted(kept(A, 100)), is(true));
  }
}
