package org.passhaven.simulator.network;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.Objects;
import java.util.function.Function;
import org.passhaven.node.Node;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.PeerRequest;
import org.passhaven.protocol.PeerResponse;
import org.passhaven.simulator.time.SimulatedProcess;
import org.passhaven.spi.PeerTransport;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.PlatformException.Kind;

/** Messages between simulated nodes, through the real codec. */
public final class SimulatedPeerTransport implements PeerTransport {
  private static final int HTTP_OVERHEAD_BYTES = 120;
  private final SimulatedNetwork network;
  private final SimulatedProcess self;
  private final Function<String, Node> nodes;
  private final TrafficMeter meter;
  private final Function<String, TrafficMeter> meters;

  /** Creates the transport of one node; {@code nodes} and {@code meters} find others by address. */
  public SimulatedPeerTransport(
      SimulatedNetwork network,
      SimulatedProcess self,
      Function<String, Node> nodes,
      Function<String, TrafficMeter> meters) {
    this.network = Objects.requireNonNull(network, "network");
    this.self = Objects.requireNonNull(self, "self");
    this.nodes = Objects.requireNonNull(nodes, "nodes");
    this.meters = Objects.requireNonNull(meters, "meters");
    this.meter = meters.apply(self.name());
  }

  @Override
  public Uni<PeerResponse> call(String address, PeerRequest request, long limitMillis) {
    byte[] bytes = Codec.encode(request);
    count(meter, request instanceof PeerRequest.SubmitStep, bytes.length);
    return Uni.createFrom().emitter(emitter -> send(address, bytes, emitter));
  }

  private void send(String address, byte[] bytes, UniEmitter<? super PeerResponse> emitter) {
    SimulatedProcess target = network.at(address);
    if (target == null || !network.isOpen(self.zone(), target.zone()) || network.drawLoss()) {
      return;
    }
    long delay = network.latencyMicros(self.zone(), target.zone());
    if (!target.isAlive()) {
      network.deliver(
          self,
          2 * delay,
          () ->
              emitter.fail(
                  new PlatformException(
                      Kind.NOT_RUN, "connection refused", new java.net.ConnectException())));
      return;
    }
    network.deliver(target, delay, () -> receive(target, bytes, emitter));
    if (network.drawDuplicate()) {
      network.deliver(target, 2 * delay, () -> receive(target, bytes, emitter));
    }
  }

  private void receive(
      SimulatedProcess target, byte[] bytes, UniEmitter<? super PeerResponse> emitter) {
    Node node = nodes.apply(target.name());
    if (node == null) {
      return;
    }
    PeerRequest request = Codec.decode(bytes, PeerRequest.class);
    TrafficMeter targetMeter = meters.apply(target.name());
    count(targetMeter, request instanceof PeerRequest.SubmitStep, bytes.length);
    node.onPeerRequest(request)
        .subscribe()
        .with(
            response ->
                answer(
                    target,
                    targetMeter,
                    Codec.encode(response),
                    response instanceof PeerResponse.Samples,
                    emitter),
            failure -> {});
  }

  private void answer(
      SimulatedProcess target,
      TrafficMeter targetMeter,
      byte[] bytes,
      boolean isData,
      UniEmitter<? super PeerResponse> emitter) {
    count(targetMeter, isData, bytes.length);
    if (!network.isOpen(self.zone(), target.zone()) || network.drawLoss()) {
      return;
    }
    network.deliver(
        self,
        network.latencyMicros(target.zone(), self.zone()),
        () -> {
          count(meter, isData, bytes.length);
          emitter.complete(Codec.decode(bytes, PeerResponse.class));
        });
  }

  private static void count(TrafficMeter meter, boolean isData, int bytes) {
    if (isData) {
      meter.onData(bytes + HTTP_OVERHEAD_BYTES);
    } else {
      meter.onControl(bytes + HTTP_OVERHEAD_BYTES);
    }
  }
}
