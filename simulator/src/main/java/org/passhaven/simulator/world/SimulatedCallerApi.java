package org.passhaven.simulator.world;

import io.smallrye.mutiny.Uni;
import java.util.Objects;
import org.passhaven.emulator.check.Checker.Told;
import org.passhaven.emulator.load.CallerApi;
import org.passhaven.node.request.RequestOutcome;
import org.passhaven.node.request.RequestService.CallerRequest;
import org.passhaven.simulator.network.SimulatedNetwork;
import org.passhaven.simulator.time.SimulatedProcess;
import org.passhaven.spi.ServiceBackEnd.Request;

/** A caller's requests to one node. */
final class SimulatedCallerApi implements CallerApi {
  private static final long LIMIT_MILLIS = 10_000;
  private final SimulatedNetwork network;
  private final SimulatedProcess self;
  private final NodeHost host;

  SimulatedCallerApi(SimulatedNetwork network, SimulatedProcess self, NodeHost host) {
    this.network = Objects.requireNonNull(network, "network");
    this.self = Objects.requireNonNull(self, "self");
    this.host = Objects.requireNonNull(host, "host");
  }

  @Override
  public Uni<Word> send(String service, String method, String path, byte[] body, String key) {
    CallerRequest request =
        new CallerRequest(service, new Request(method, path, "", body, key), "", 0);
    Uni<Word> sent =
        Uni.createFrom()
            .emitter(
                emitter -> {
                  if (!host.process().isAlive()) {
                    network.deliver(
                        self,
                        2 * network.clientLatencyMicros(),
                        () -> emitter.complete(new Word(Told.REFUSED_NOT_RUN, new byte[0])));
                    return;
                  }
                  network.deliver(
                      host.process(),
                      network.clientLatencyMicros(),
                      () ->
                          host.node()
                              .requests()
                              .call(request)
                              .subscribe()
                              .with(
                                  outcome ->
                                      network.deliver(
                                          self,
                                          network.clientLatencyMicros(),
                                          () -> emitter.complete(toWord(outcome)))));
                });
    return self.timers()
        .withTimeout(sent, LIMIT_MILLIS, "caller")
        .onFailure()
        .recoverWithItem(new Word(Told.OUTCOME_UNKNOWN, new byte[0]));
  }

  private static Word toWord(RequestOutcome outcome) {
    if (outcome instanceof RequestOutcome.Answered answered) {
      return new Word(Told.ANSWERED, answered.response().body());
    }
    boolean notRun = outcome instanceof RequestOutcome.RefusedNotRun;
    return new Word(notRun ? Told.REFUSED_NOT_RUN : Told.OUTCOME_UNKNOWN, new byte[0]);
  }
}
