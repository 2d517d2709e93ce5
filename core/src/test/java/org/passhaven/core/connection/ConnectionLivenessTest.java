package org.passhaven.core.connection;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.passhaven.core.connection.ConnectionLiveness.Connection;

/** Guards against reusing connections that went silent without being closed. */
class ConnectionLivenessTest {
  private static final String A = "10.0.0.1:1";
  private static final String B = "10.0.0.2:1";
  private static final String C = "10.0.0.3:1";
  private static final String D = "10.0.0.4:1";
  private final ConnectionLiveness trust = new ConnectionLiveness();

  /** Returns a connection that was opened at 0 and last received data at the given time. */
  private Connection idleConnection(String address, long heardAtMillis) {
    Connection connection = trust.onOpened(address, 0);
    trust.onDataReceived(connection, heardAtMillis);
    return connection;
  }

  @Test
  void silenceMakesOnlyOlderConnectionsToTheAddressSuspect() {
    Connection silent = idleConnection(A, 100);
    Connection older = idleConnection(A, 200);
    Connection activeSince = idleConnection(A, 1_050);
    Connection elsewhere = idleConnection(B, 100);
    assertThat(trust.onNoResponse(silent, 1_000, 1_000, 1_200), is(false));
    assertThat(trust.isReusable(silent), is(false));
    assertThat(trust.isReusable(older), is(false));
    assertThat(trust.isReusable(activeSince), is(true));
    assertThat(trust.isReusable(elsewhere), is(true));
    assertThat(trust.isReusable(trust.onOpened(A, 1_200)), is(true));
  }

  @Test
  void aSilentConnectionIsSuspectEvenIfDataArrivedJustBefore() {
    Connection silent = idleConnection(A, 1_000);
    trust.onNoResponse(silent, 1_000, 1_000, 1_800);
    assertThat(trust.isReusable(silent), is(false));
  }

  @Test
  void aConnectionThatReceivesDataIsTrustedAgain() {
    Connection silent = idleConnection(A, 100);
    Connection older = idleConnection(A, 200);
    trust.onNoResponse(silent, 1_000, 1_000, 1_200);
    trust.onDataReceived(older, 1_300);
    assertThat(trust.isReusable(older), is(true));
  }

  @Test
  void aConnectionOpenedForTheCallWithoutAResponseMakesNoOthersSuspect() {
    Connection older = idleConnection(A, 200);
    Connection unresponsive = trust.onOpened(A, 900);
    assertThat(trust.onNoResponse(unresponsive, 899, 901, 2_000), is(false));
    assertThat(trust.isReusable(older), is(true));
  }

  @Test
  void aSilentConnectionOpenedBeforeTheCallMakesOthersSuspect() {
    Connection older = idleConnection(A, 200);
    Connection unused = trust.onOpened(A, 300);
    trust.onNoResponse(unused, 899, 901, 2_000);
    assertThat(trust.isReusable(older), is(false));
    assertThat(trust.isReusable(unused), is(false));
  }

  @Test
  void dataReceivedAtTheTimeOfTheSilentCallDoesNotClearSuspicion() {
    Connection other = idleConnection(A, 1_000);
    trust.onNoResponse(idleConnection(A, 900), 1_000, 1_000, 1_400);
    assertThat(trust.isReusable(other), is(false));
  }

  @Test
  void silenceAtTwoAddressesMakesAllConnectionsSuspect() {
    Connection elsewhere = idleConnection(C, 900);
    trust.onNoResponse(idleConnection(A, 100), 1_000, 1_000, 1_200);
    assertThat(trust.isReusable(elsewhere), is(true));
    assertThat(trust.onNoResponse(idleConnection(B, 100), 1_100, 1_100, 1_400), is(true));
    assertThat(trust.isReusable(elsewhere), is(false));
    assertThat(trust.isReusable(trust.onOpened(C, 1_400)), is(true));
  }

  @Test
  void laterTimeoutsOfTheSameEventDoNotCountAgain() {
    Connection third = idleConnection(C, 900);
    Connection fourth = idleConnection(D, 900);
    trust.onNoResponse(idleConnection(A, 100), 1_000, 1_000, 1_200);
    trust.onNoResponse(idleConnection(B, 100), 1_100, 1_100, 1_400);
    Connection renewed = trust.onOpened(A, 1_450);
    assertThat(trust.onNoResponse(third, 1_000, 1_000, 3_000), is(false));
    assertThat(trust.onNoResponse(fourth, 1_050, 1_050, 3_000), is(false));
    assertThat(trust.isReusable(renewed), is(true));
  }

  @Test
  void slowServersMakeNoOthersSuspectWhileAnOlderConnectionReceivesData() {
    Connection healthy = idleConnection(C, 900);
    trust.onNoResponse(idleConnection(A, 100), 1_000, 1_000, 1_200);
    trust.onDataReceived(healthy, 1_300);
    assertThat(trust.onNoResponse(idleConnection(B, 100), 1_100, 1_100, 1_400), is(false));
    assertThat(trust.isReusable(healthy), is(true));
  }

  @Test
  void dataOnNewConnectionsDoesNotClearOlderOnes() {
    Connection elsewhere = idleConnection(C, 900);
    trust.onNoResponse(idleConnection(A, 100), 1_000, 1_000, 1_200);
    trust.onDataReceived(trust.onOpened(B, 1_150), 1_390);
    assertThat(trust.onNoResponse(idleConnection(B, 100), 1_100, 1_100, 1_400), is(true));
    assertThat(trust.isReusable(elsewhere), is(false));
  }

  @Test
  void silencesFarApartInTimeAreSeparateEvents() {
    trust.onNoResponse(idleConnection(A, 100), 1_000, 1_000, 1_200);
    assertThat(trust.onNoResponse(idleConnection(B, 100), 2_100, 2_100, 2_300), is(false));
  }

  @Test
  void closingTheLastConnectionClearsTheSuspicionOfAnAddress() {
    Connection silent = idleConnection(A, 100);
    trust.onNoResponse(silent, 5_000, 5_000, 5_200);
    trust.onClosed(silent);
    assertThat(trust.isReusable(idleConnection(A, 100)), is(true));
  }
}
