package org.passhaven.simulator.world;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.MultiEmitter;
import java.util.Objects;
import org.passhaven.emulator.check.Checker;
import org.passhaven.emulator.model.EngineModel;
import org.passhaven.protocol.Segment;
import org.passhaven.simulator.network.SimulatedNetwork;
import org.passhaven.simulator.time.SimulatedProcess;
import org.passhaven.simulator.time.VirtualTime;
import org.passhaven.spi.EngineService.GenerationRequest;
import org.passhaven.spi.EngineService.OrderOutcome;
import org.passhaven.spi.EngineService.Report;
import org.passhaven.spi.EngineService.VersionOrder;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.PlatformException.Kind;

/** An engine in virtual time: its model, its process, and its manners on the network. */
public final class SimulatedEngine {
  private final VirtualTime time;
  private final SimulatedNetwork network;
  private final SimulatedProcess process;
  private final EngineModel model;
  private final BackEndLink link;
  private boolean stepping;

  /** Creates an engine. */
  public SimulatedEngine(
      VirtualTime time,
      SimulatedNetwork network,
      SimulatedProcess process,
      EngineModel model,
      Checker checker) {
    this.time = Objects.requireNonNull(time, "time");
    this.network = Objects.requireNonNull(network, "network");
    this.process = Objects.requireNonNull(process, "process");
    this.model = Objects.requireNonNull(model, "model");
    this.link = new BackEndLink(time, network, process, checker);
  }

  /** The engine's state. */
  public EngineModel model() {
    return model;
  }

  /** The engine's process. */
  public SimulatedProcess process() {
    return process;
  }

  /** The platform wants the engine to go. */
  public void setLeaving() {
    link.setLeaving();
    model.setLeaving();
  }

  /** Loses everything in memory; streams are reset. It starts again on {@code version}. */
  public void crash(long version) {
    process.kill();
    model.restart(model.incarnation() + 1, version);
    stepping = false;
  }

  Multi<Segment> generate(SimulatedProcess caller, GenerationRequest request) {
    return Multi.createFrom().emitter(emitter -> open(caller, request, emitter));
  }

  private void open(
      SimulatedProcess caller, GenerationRequest request, MultiEmitter<? super Segment> emitter) {
    if (!link.isOpen(caller)) {
      return;
    }
    link.onWorkSent(caller);
    long delay = link.oneWay(caller);
    if (!process.isAlive()) {
      network.deliver(
          caller,
          2 * delay,
          () -> emitter.fail(new PlatformException(Kind.NOT_RUN, "connection refused")));
      return;
    }
    emitter.onTermination(
        () -> network.deliver(process, delay, () -> model.cancel(request.requestId())));
    network.deliver(
        process,
        delay,
        () -> {
          model.submit(request, new StreamSink(caller, emitter));
          keepStepping();
        });
  }

  Uni<Report> report(SimulatedProcess caller) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              if (link.isOpen(caller) && process.isAlive()) {
                network.deliver(
                    process,
                    link.oneWay(caller),
                    () -> {
                      Report report = model.report(time.nowMillis());
                      if (link.isOpen(caller)) {
                        network.deliver(
                            caller, link.oneWay(caller), () -> emitter.complete(report));
                      }
                    });
              }
            });
  }

  Uni<OrderOutcome> order(SimulatedProcess caller, VersionOrder order) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              if (link.isOpen(caller) && process.isAlive()) {
                network.deliver(
                    process,
                    link.oneWay(caller),
                    () -> {
                      model.order(
                          order,
                          time.nowMillis(),
                          outcome -> {
                            if (link.isOpen(caller)) {
                              network.deliver(
                                  caller, link.oneWay(caller), () -> emitter.complete(outcome));
                            }
                          });
                      keepStepping();
                    });
              }
            });
  }

  private void keepStepping() {
    if (!stepping && model.isBusy()) {
      stepping = true;
      network.deliver(process, model.stepMillis() * VirtualTime.MICROS_PER_MILLI, this::step);
    }
  }

  private void step() {
    stepping = false;
    model.step(time.nowMillis());
    keepStepping();
  }

  /** Sends what becomes of a generation to the node that asked; nothing gets through a cut. */
  private final class StreamSink implements EngineModel.Sink {
    private final SimulatedProcess caller;
    private final MultiEmitter<? super Segment> emitter;
    private long lastArrivalMicros;
    private boolean broken;

    StreamSink(SimulatedProcess caller, MultiEmitter<? super Segment> emitter) {
      this.caller = caller;
      this.emitter = emitter;
    }

    @Override
    public void onTokens(Segment segment) {
      send(() -> emitter.emit(segment));
    }

    @Override
    public void onFinished() {
      send(emitter::complete);
    }

    @Override
    public void onLost() {
      send(() -> emitter.fail(new PlatformException(Kind.OUTCOME_UNKNOWN, "stream reset")));
    }

    /** A stream keeps its order and has no gaps: after a cut it hangs. */
    private void send(Runnable task) {
      broken |= !link.isOpen(caller);
      if (broken) {
        return;
      }
      long arrival = Math.max(lastArrivalMicros, time.nowMicros() + link.oneWay(caller));
      lastArrivalMicros = arrival;
      network.deliver(caller, arrival - time.nowMicros(), task);
    }
  }
}
