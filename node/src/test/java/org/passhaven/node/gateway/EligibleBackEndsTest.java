package org.passhaven.node.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.backend.ServerTable;
import org.passhaven.core.eligibility.ServerEligibility;
import org.passhaven.core.evacuation.ZoneEvacuations;
import org.passhaven.core.topology.Topology;
import org.passhaven.spi.BackEndException;
import org.passhaven.spi.BackEndService.Answer;
import org.passhaven.spi.BackEndService.Call;
import org.passhaven.spi.BackEndService.Generation;
import org.passhaven.spi.BackEndService.Progress;
import org.passhaven.spi.BackEndService.Target;
import org.passhaven.spi.PlatformException;

class EligibleBackEndsTest {
  private static final Call CALL = new Call("r", "", "POST", "/p", "h", List.of(), new byte[0], 9);
  private final List<String> sent = new ArrayList<>();
  private final ServerTable servers = new ServerTable();
  private final ZoneEvacuations evacuations = new ZoneEvacuations();
  private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
  private final EligibleBackEnds backEnds =
      new EligibleBackEnds(
          new RecordingBackEnds(),
          new ServerEligibility(servers, evacuations, Topology.ofZone("z")),
          servers::getById,
          () -> 0,
          new GatewayMetrics(registry));

  private final class RecordingBackEnds extends GatewayFixture.SilentServers {
    @Override
    public Uni<Answer> call(Target target, Call call) {
      sent.add("call");
      return Uni.createFrom().nothing();
    }

    @Override
    public Multi<Progress> generate(Target target, Generation generation) {
      sent.add("generate");
      return Multi.createFrom().nothing();
    }
  }

  private void send(List<Throwable> failures) {
    Target target = new Target("s", "h:1");
    backEnds.call(target, CALL).subscribe().with(answer -> {}, failures::add);
    backEnds.callOnNewConnection(target, CALL).subscribe().with(answer -> {}, failures::add);
    backEnds
        .generate(target, new Generation(CALL, 0, 0))
        .subscribe()
        .with(progress -> {}, failures::add);
  }

  @Test
  void sendsToAnEligibleServer() {
    servers.put(new ServerEntry(ServerIncarnation.of("s"), "llm", "h:1", "z", 4, true, Map.of()));
    send(new ArrayList<>());
    assertThat(sent, contains("call", "call", "generate"));
  }

  @Test
  void sendsNothingToAServerOfAnEvacuatedZone() {
    servers.put(new ServerEntry(ServerIncarnation.of("s"), "llm", "h:1", "z", 4, true, Map.of()));
    evacuations.add("z");
    List<Throwable> failures = new ArrayList<>();
    send(failures);
    assertThat(sent, empty());
    assertThat(
        ((PlatformException) failures.get(0)).kind(), equalTo(PlatformException.Kind.HELD_BACK));
    assertThat(
        ((BackEndException) failures.get(2)).kind(), equalTo(BackEndException.Kind.HELD_BACK));
    assertThat(
        registry
            .counter("passhaven.gateway.requests.ineligible", "reason", "zone-evacuated")
            .count(),
        equalTo(3.0));
  }

  @Test
  void sendsNothingToAServerThatIsNotListed() {
    send(new ArrayList<>());
    assertThat(sent, empty());
  }
}
