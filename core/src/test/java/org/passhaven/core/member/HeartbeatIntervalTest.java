package org.passhaven.core.member;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HeartbeatIntervalTest {
  @Test
  void idleNodesOfASmallFleetSendOneHeartbeatPerSecond() {
    assertThat(HeartbeatInterval.idleMillis(0), equalTo(1_000L));
    assertThat(HeartbeatInterval.idleMillis(12), equalTo(1_000L));
    assertThat(HeartbeatInterval.idleMillis(95), equalTo(1_000L));
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 30, 95, 125, 408, 1_000})
  void heartbeatsOfAllIdleNodesAreBounded(int nodes) {
    double beatsPerSecond = nodes * 1_000.0 / HeartbeatInterval.idleMillis(nodes);
    assertThat(beatsPerSecond, lessThanOrEqualTo(100.1));
  }

  @Test
  void theIntervalIsBoundedInTheLargestFleet() {
    assertThat(HeartbeatInterval.idleMillis(1_000_000), equalTo(10_000L));
  }
}
