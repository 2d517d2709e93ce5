package org.passhaven.simulator.world;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.util.Map;
import java.util.Objects;
import org.passhaven.emulator.model.MachineListModel;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.Segment;
import org.passhaven.simulator.network.SimulatedNetwork;
import org.passhaven.simulator.network.TrafficMeter;
import org.passhaven.simulator.time.SimulatedProcess;
import org.passhaven.spi.EngineService;
import org.passhaven.spi.MachineList;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.PlatformException.Kind;
import org.passhaven.spi.ServiceBackEnd;

/** Engines, servers and the machine list as one simulated node reaches them. */
final class SimulatedPlatform {
  private static final int OVERHEAD_BYTES = 150;
  private static final String PLATFORM_ZONE = "";

  private SimulatedPlatform() {}

  static EngineService engines(
      Map<String, SimulatedEngine> byAddress, SimulatedProcess self, TrafficMeter meter) {
    Objects.requireNonNull(byAddress, "byAddress");
    return new EngineService() {
      @Override
      public Multi<Segment> generate(String address, GenerationRequest request) {
        meter.onData(request.prompt().length() + OVERHEAD_BYTES);
        return byAddress
            .get(address)
            .generate(self, request)
            .invoke(segment -> meter.onData(Integer.BYTES * (long) segment.tokens().length));
      }

      @Override
      public Uni<Report> report(String address) {
        meter.onControl(OVERHEAD_BYTES);
        return byAddress
            .get(address)
            .report(self)
            .invoke(report -> meter.onControl(Codec.encode(report).length + OVERHEAD_BYTES));
      }

      @Override
      public Uni<OrderOutcome> order(String address, VersionOrder order) {
        meter.onControl(Codec.encode(order).length + OVERHEAD_BYTES);
        return byAddress
            .get(address)
            .order(self, order)
            .invoke(outcome -> meter.onControl(OVERHEAD_BYTES));
      }
    };
  }

  static ServiceBackEnd services(
      Map<String, SimulatedServer> byAddress, SimulatedProcess self, TrafficMeter meter) {
    return (address, request, limitMillis) -> {
      meter.onData(request.body().length + OVERHEAD_BYTES);
      return byAddress.get(address).call(self, request);
    };
  }

  static MachineList machines(
      MachineListModel model, SimulatedProcess self, SimulatedNetwork network, TrafficMeter meter) {
    return knownVersion ->
        Uni.createFrom()
            .emitter(
                emitter -> {
                  meter.onControl(OVERHEAD_BYTES);
                  if (!network.isOpen(self.zone(), PLATFORM_ZONE)) {
                    emitter.fail(
                        new PlatformException(Kind.OUTCOME_UNKNOWN, "the platform is cut off"));
                    return;
                  }
                  long delay = 2 * network.latencyMicros(self.zone(), PLATFORM_ZONE);
                  network.deliver(
                      self,
                      delay,
                      () -> {
                        MachineList.Listing listing =
                            model.fetch(knownVersion, self.timers().nowMillis());
                        meter.onControl(OVERHEAD_BYTES + Codec.encode(listing).length);
                        emitter.complete(listing);
                      });
                });
  }
}
