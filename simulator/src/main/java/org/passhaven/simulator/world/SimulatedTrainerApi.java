package org.passhaven.simulator.world;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Objects;
import java.util.function.Function;
import org.passhaven.emulator.load.TrainerApi;
import org.passhaven.node.Node;
import org.passhaven.protocol.Prompt;
import org.passhaven.simulator.network.SimulatedNetwork;
import org.passhaven.simulator.time.SimulatedProcess;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.PlatformException.Kind;

/** A trainer's calls to the node beside it; a failed call goes to the next node. */
final class SimulatedTrainerApi implements TrainerApi {
  private static final long LIMIT_MILLIS = 15_000;
  private static final long NODE_LIMIT_MILLIS = 12_000;
  private static final int MOST_SAMPLES = 500;
  private final SimulatedNetwork network;
  private final SimulatedProcess self;
  private final List<NodeHost> nodes;
  private int current;

  SimulatedTrainerApi(
      SimulatedNetwork network, SimulatedProcess self, List<NodeHost> nodes, int first) {
    this.network = Objects.requireNonNull(network, "network");
    this.self = Objects.requireNonNull(self, "self");
    this.nodes = List.copyOf(nodes);
    this.current = first;
  }

  @Override
  public Uni<Void> submit(String trainer, long step, List<Prompt> prompts, int samplesPerPrompt) {
    return call(
        node ->
            node.rollouts().submit(trainer, step, prompts, samplesPerPrompt, NODE_LIMIT_MILLIS));
  }

  @Override
  public Uni<Pulled> pull(
      String trainer, long step, List<Long> cursor, long trainerVersion, long waitMillis) {
    return call(
        node ->
            node.rollouts()
                .pull(
                    trainer,
                    step,
                    cursor,
                    trainerVersion,
                    MOST_SAMPLES,
                    waitMillis,
                    NODE_LIMIT_MILLIS)
                .map(pulled -> new Pulled(pulled.samples(), pulled.cursor(), pulled.isComplete())));
  }

  @Override
  public Uni<Void> stateVersion(String trainer, long version) {
    return call(node -> node.rollouts().reportVersion(trainer, version, NODE_LIMIT_MILLIS));
  }

  private <T> Uni<T> call(Function<Node, Uni<T>> request) {
    NodeHost host = nodes.get(Math.floorMod(current, nodes.size()));
    Uni<T> sent =
        Uni.createFrom()
            .emitter(
                emitter -> {
                  if (!host.process().isAlive()) {
                    network.deliver(
                        self,
                        2 * network.clientLatencyMicros(),
                        () ->
                            emitter.fail(
                                new PlatformException(Kind.NOT_RUN, "connection refused")));
                    return;
                  }
                  network.deliver(
                      host.process(),
                      network.clientLatencyMicros(),
                      () ->
                          run(host, request)
                              .subscribe()
                              .with(
                                  item ->
                                      network.deliver(
                                          self,
                                          network.clientLatencyMicros(),
                                          () -> emitter.complete(item)),
                                  failure ->
                                      network.deliver(
                                          self,
                                          network.clientLatencyMicros(),
                                          () -> emitter.fail(failure))));
                });
    return self.timers()
        .withTimeout(sent, LIMIT_MILLIS, "trainer")
        .onFailure()
        .invoke(failure -> current++);
  }

  private static <T> Uni<T> run(NodeHost host, Function<Node, Uni<T>> request) {
    try {
      return request.apply(host.node());
    } catch (RuntimeException e) {
      // The HTTP layer answers what a handler throws; so does this stand-in for it.
      return Uni.createFrom().failure(e);
    }
  }
}
