package org.passhaven.core.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Guards against wrong backoff of failing servers. */
class ServerHealthTest {
  private static final ServerIncarnation SERVER = ServerIncarnation.of("a");
  private final ServerHealth health = new ServerHealth();

  @Test
  void consecutiveFailuresIncreaseTheBackoff() {
    health.onFailure(SERVER, 1_000);
    health.onFailure(SERVER, 1_200);
    assertThat(health.isAvoided(SERVER, 1_599), is(true));
    assertThat(health.isAvoided(SERVER, 1_600), is(false));
    health.onFailure(SERVER, 1_600);
    assertThat(health.isAvoided(SERVER, 2_399), is(true));
    assertThat(health.isAvoided(SERVER, 2_400), is(false));
  }

  @Test
  void aFailureDuringAnAvoidancePeriodExtendsIt() {
    health.avoid(SERVER, 80, 1_000);
    health.onFailure(SERVER, 1_010);
    assertThat(health.isAvoided(SERVER, 1_209), is(true));
  }

  @Test
  void aSuccessResetsTheBackoff() {
    health.onFailure(SERVER, 1_000);
    health.onSuccess(SERVER, 20, 1_050);
    assertThat(health.isAvoided(SERVER, 1_060), is(false));
    health.onFailure(SERVER, 1_070);
    assertThat(health.isAvoided(SERVER, 1_269), is(true));
    assertThat(health.isAvoided(SERVER, 1_270), is(false));
  }
}
