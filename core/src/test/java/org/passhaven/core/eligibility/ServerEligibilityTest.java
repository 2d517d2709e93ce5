package org.passhaven.core.eligibility;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.backend.ServerTable;
import org.passhaven.core.evacuation.ZoneEvacuations;
import org.passhaven.core.topology.Topology;
import org.passhaven.protocol.region.RegionRestriction;

class ServerEligibilityTest {
  private final ServerTable servers = new ServerTable();
  private final ZoneEvacuations evacuations = new ZoneEvacuations();
  private final ServerEligibility eligibility =
      new ServerEligibility(
          servers, evacuations, new Topology("z", Map.of("z", "near", "y", "far")));

  private static ServerEntry server(String zone, boolean ready) {
    return new ServerEntry(ServerIncarnation.of("s"), "llm", "h:1", zone, 4, ready, Map.of());
  }

  private Optional<Ineligibility> check(ServerEntry server, RegionRestriction restriction) {
    return eligibility.check(server, restriction, 0);
  }

  @Test
  void aListedServerThatIsReadyIsEligible() {
    servers.put(server("z", true));
    assertThat(check(server("z", true), RegionRestriction.NONE), equalTo(Optional.empty()));
  }

  @Test
  void aServerThatIsNotListedOrDrainsIsNot() {
    ServerEntry chosen = server("z", true);
    assertThat(
        check(chosen, RegionRestriction.NONE), equalTo(Optional.of(Ineligibility.NOT_LISTED)));
    servers.put(server("z", false));
    assertThat(check(chosen, RegionRestriction.NONE), equalTo(Optional.of(Ineligibility.DRAINING)));
  }

  @Test
  void aServerOfAnEvacuatedZoneIsNotUntilTheEvacuationIsTakenBack() {
    servers.put(server("z", true));
    evacuations.add("z");
    assertThat(
        check(server("z", true), RegionRestriction.NONE),
        equalTo(Optional.of(Ineligibility.ZONE_EVACUATED)));
    evacuations.remove("z");
    assertThat(check(server("z", true), RegionRestriction.NONE), equalTo(Optional.empty()));
  }

  @Test
  void aServerOutsideTheAllowedRegionsIsNot() {
    servers.put(server("y", true));
    assertThat(
        check(server("y", true), RegionRestriction.to(Set.of("near"))),
        equalTo(Optional.of(Ineligibility.REGION_NOT_ALLOWED)));
    assertThat(
        check(server("y", true), RegionRestriction.to(Set.of("far"))), equalTo(Optional.empty()));
  }
}
