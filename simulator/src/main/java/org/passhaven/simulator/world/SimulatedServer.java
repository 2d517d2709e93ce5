package org.passhaven.simulator.world;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.Objects;
import org.passhaven.emulator.check.Checker;
import org.passhaven.emulator.model.ServiceModel;
import org.passhaven.simulator.network.SimulatedNetwork;
import org.passhaven.simulator.time.SimulatedProcess;
import org.passhaven.simulator.time.VirtualTime;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.PlatformException.Kind;
import org.passhaven.spi.ServiceBackEnd.Request;
import org.passhaven.spi.ServiceBackEnd.Response;

/** A service server in virtual time. */
public final class SimulatedServer {
  private final SimulatedNetwork network;
  private final SimulatedProcess process;
  private final ServiceModel model;
  private final BackEndLink link;
  private final long answerMicros;
  private boolean refuses;

  /** Creates a server that answers after {@code answerMicros}. */
  public SimulatedServer(
      VirtualTime time,
      SimulatedNetwork network,
      SimulatedProcess process,
      ServiceModel model,
      Checker checker,
      long answerMicros) {
    this.network = Objects.requireNonNull(network, "network");
    this.process = Objects.requireNonNull(process, "process");
    this.model = Objects.requireNonNull(model, "model");
    this.link = new BackEndLink(time, network, process, checker);
    this.answerMicros = answerMicros;
  }

  /** The server's process. */
  public SimulatedProcess process() {
    return process;
  }

  /** The platform wants the server to go; it says so itself only if {@code refusing}. */
  public void setLeaving(boolean refusing) {
    link.setLeaving();
    refuses = refusing;
  }

  Uni<Response> call(SimulatedProcess caller, Request request) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              if (!link.isOpen(caller)) {
                return;
              }
              if (!refuses) {
                link.onWorkSent(caller);
              }
              long delay = link.oneWay(caller);
              if (!process.isAlive()) {
                network.deliver(
                    caller,
                    2 * delay,
                    () ->
                        emitter.fail(
                            new PlatformException(
                                Kind.NOT_RUN,
                                "connection refused",
                                new java.net.ConnectException())));
                return;
              }
              network.deliver(process, delay, () -> serve(caller, request, emitter));
            });
  }

  private void serve(
      SimulatedProcess caller, Request request, UniEmitter<? super Response> emitter) {
    if (refuses) {
      network.deliver(
          caller,
          link.oneWay(caller),
          () -> emitter.fail(new PlatformException(Kind.NOT_RUN, "leaving")));
      return;
    }
    Response response = model.run(request);
    network.deliver(
        process,
        answerMicros,
        () -> {
          if (link.isOpen(caller)) {
            network.deliver(caller, link.oneWay(caller), () -> emitter.complete(response));
          }
        });
  }
}
