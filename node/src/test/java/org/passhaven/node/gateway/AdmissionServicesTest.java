package org.passhaven.node.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.passhaven.core.admission.AdmissionDecision.Reject;
import org.passhaven.core.admission.AdmissionRequest.Source;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.route.Route;
import org.passhaven.core.route.ServiceShare;
import org.passhaven.node.ManualTimers;
import org.passhaven.node.MemoryLog;
import org.passhaven.spi.BackEndService.Call;
import org.passhaven.spi.DutyService;

/** Guards against lost decisions when a rejected request causes one to another service. */
class AdmissionServicesTest {
  private static final long DEADLINE_MILLIS = 1_500;
  private static final Route ROUTE =
      new Route(
          "r",
          "h",
          "/",
          List.of(new ServiceShare("old", 9), new ServiceShare("new", 1)),
          Route.Kind.AT_MOST_ONCE,
          DEADLINE_MILLIS,
          250,
          4,
          false,
          false,
          0,
          0,
          true);
  private final ManualTimers timers = new ManualTimers();
  private final GatewayContext context =
      new GatewayContext(
          GatewayFixture.settings(1, 262_144, 2_097_152),
          1,
          timers,
          bound -> 0,
          new MemoryLog(timers),
          new GatewayFixture.SilentTables(),
          new GatewayFixture.SilentServers(),
          DutyService.NONE,
          new GatewayFixture.EmptyDocuments(),
          new GatewayMetrics(new SimpleMeterRegistry()));
  private final RequestAdmission admission =
      new RequestAdmission(
          context, new PlatformDirectory(context, () -> 0), AdmissionServicesTest::serversOf);
  private final List<String> events = new ArrayList<>();

  private static List<ServerEntry> serversOf(String service) {
    return List.of(
        new ServerEntry(ServerIncarnation.of(service), service, "a:1", "z", 1, true, Map.of()));
  }

  private void submit(String id, String service, Runnable whenRejected) {
    Call call = new Call(id, "", "GET", "/", "h", List.of(), new byte[0], DEADLINE_MILLIS);
    admission
        .newSlot(ROUTE, call, service, Source.SCORING, DEADLINE_MILLIS)
        .acquire(
            new RequestAdmission.SlotListener() {
              @Override
              public void onAdmitted() {
                events.add(id + " sent");
              }

              @Override
              public void onRejected(Reject decision) {
                events.add(id + " rejected");
                whenRejected.run();
              }
            });
  }

  @Test
  void closingAdmissionAllowsARejectedCallerToUseANewService() {
    submit("1", "old", () -> {});
    submit("2", "old", () -> {});
    submit("3", "old", () -> submit("4", "new", () -> {}));
    admission.close();
    assertThat(events, contains("1 sent", "2 sent", "3 rejected", "4 sent"));
  }
}
