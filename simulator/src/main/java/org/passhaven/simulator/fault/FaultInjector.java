package org.passhaven.simulator.fault;

import java.util.List;
import java.util.Objects;
import org.passhaven.simulator.time.VirtualTime;
import org.passhaven.simulator.world.NodeHost;
import org.passhaven.simulator.world.SimulatedEngine;
import org.passhaven.simulator.world.SimulatedServer;
import org.passhaven.simulator.world.World;

/** Makes faults happen in a world at their times. */
public final class FaultInjector {
  private static final long STOP_LIMIT_MILLIS = 20_000;
  private final World world;
  private int engineLeaves;
  private int serverLeaves;

  /** Creates an injector for a world. */
  public FaultInjector(World world) {
    this.world = Objects.requireNonNull(world, "world");
  }

  /** Sets all faults up. */
  public void schedule(List<Fault> faults) {
    faults.forEach(fault -> at(fault.atMillis(), () -> inject(fault)));
  }

  private void at(long millis, Runnable task) {
    world.time().after((millis - world.time().nowMillis()) * VirtualTime.MICROS_PER_MILLI, task);
  }

  private void later(Fault fault, Runnable task) {
    at(world.time().nowMillis() + fault.durationMillis(), task);
  }

  private void inject(Fault fault) {
    switch (fault.kind()) {
      case ENGINE_CRASH -> crash(engine(fault), fault);
      case ENGINE_FREEZE -> freezeEngine(engine(fault), fault);
      case ENGINE_LEAVE -> leave(engine(fault));
      case SWAP_FAILURES ->
          during(fault, () -> world.setSwapFailure(fault.value()), () -> world.setSwapFailure(0));
      case NODE_KILL -> kill(node(fault), fault);
      case NODE_PAUSE -> pause(node(fault), fault);
      case NODE_STOP -> stop(node(fault), fault);
      case ALL_NODES_KILL -> world.nodes().forEach(host -> kill(host, fault));
      case SERVER_CRASH -> crash(server(fault), fault);
      case SERVER_FREEZE -> freezeServer(server(fault), fault);
      case SERVER_LEAVE -> leave(server(fault), fault.value() > 0);
      case LOG_DOWN ->
          during(fault, () -> world.log().setDown(true), () -> world.log().setDown(false));
      case LOG_SLOW ->
          during(
              fault,
              () -> world.log().setSlow(micros(fault.value())),
              () -> world.log().setSlow(0));
      case LOG_LOST_ANSWERS ->
          during(
              fault,
              () -> world.log().setLostAnswers(fault.value()),
              () -> world.log().setLostAnswers(0));
      case MESSAGE_LOSS ->
          during(fault, () -> world.network().setFaults(fault.value(), 0, 0), this::healMessages);
      case MESSAGE_DUPLICATION ->
          during(fault, () -> world.network().setFaults(0, fault.value(), 0), this::healMessages);
      case MESSAGE_DELAY ->
          during(
              fault,
              () -> world.network().setFaults(0, 0, micros(fault.value())),
              this::healMessages);
      case ZONE_CUT ->
          during(
              fault,
              () -> world.network().setCut(zone(fault), true),
              () -> world.network().setCut(zone(fault), false));
      case ZONE_LOSS -> loseZone(fault);
      case OPERATOR_RACE -> world.operators().race();
      case WEIGHT_STORE_DOWN ->
          during(
              fault,
              () -> world.weightStore().setDown(true),
              () -> world.weightStore().setDown(false));
      case CLOCK_DRIFT -> drift(fault);
    }
  }

  private void during(Fault fault, Runnable begin, Runnable end) {
    begin.run();
    later(fault, end);
  }

  private void healMessages() {
    world.network().setFaults(0, 0, 0);
  }

  private static long micros(double millis) {
    return (long) (millis * VirtualTime.MICROS_PER_MILLI);
  }

  private NodeHost node(Fault fault) {
    return world.nodes().get(fault.target() % world.nodes().size());
  }

  private SimulatedEngine engine(Fault fault) {
    return world.engines().get(fault.target() % world.engines().size());
  }

  private SimulatedServer server(Fault fault) {
    return world.servers().get(fault.target() % world.servers().size());
  }

  private String zone(Fault fault) {
    return world.zones().get(fault.target() % world.zones().size());
  }

  private void crash(SimulatedEngine engine, Fault fault) {
    if (engine.process().isAlive()) {
      long version = engine.model().version();
      engine.crash(version);
      later(fault, engine.process()::start);
    }
  }

  private void freezeEngine(SimulatedEngine engine, Fault fault) {
    if (engine.process().isAlive() && !engine.process().isPaused()) {
      during(fault, engine.process()::pause, engine.process()::resume);
    }
  }

  /** At least half of the engines stay, so that the run can end. */
  private void leave(SimulatedEngine engine) {
    if (engineLeaves < world.engines().size() / 3) {
      engineLeaves++;
      engine.setLeaving();
      world.machineList().setLeaving(engine.process().name(), world.time().nowMillis());
    }
  }

  private void kill(NodeHost host, Fault fault) {
    if (host.process().isAlive()) {
      host.kill();
      later(fault, () -> startIfDown(host));
    }
  }

  private static void startIfDown(NodeHost host) {
    if (!host.process().isAlive()) {
      host.start();
    }
  }

  private void pause(NodeHost host, Fault fault) {
    if (host.process().isAlive() && !host.process().isPaused()) {
      during(fault, host.process()::pause, host.process()::resume);
    }
  }

  private void stop(NodeHost host, Fault fault) {
    if (host.process().isAlive() && !host.process().isPaused()) {
      host.stop(
          STOP_LIMIT_MILLIS,
          cut -> {
            for (int i = 0; i < cut; i++) {
              world.checker().onStreamCut();
            }
            later(fault, () -> startIfDown(host));
          });
    }
  }

  private void crash(SimulatedServer server, Fault fault) {
    if (server.process().isAlive()) {
      server.process().kill();
      later(fault, server.process()::start);
    }
  }

  private void freezeServer(SimulatedServer server, Fault fault) {
    if (server.process().isAlive() && !server.process().isPaused()) {
      during(fault, server.process()::pause, server.process()::resume);
    }
  }

  private void leave(SimulatedServer server, boolean refusing) {
    if (serverLeaves < world.servers().size() - 1) {
      serverLeaves++;
      server.setLeaving(refusing);
      world.machineList().setLeaving(server.process().name(), world.time().nowMillis());
    }
  }

  private void loseZone(Fault fault) {
    String zone = zone(fault);
    world.nodes().stream()
        .filter(host -> host.process().zone().equals(zone))
        .forEach(host -> kill(host, fault));
    world.engines().stream()
        .filter(engine -> engine.process().zone().equals(zone))
        .forEach(engine -> crash(engine, fault));
    world.servers().stream()
        .filter(server -> server.process().zone().equals(zone))
        .forEach(server -> crash(server, fault));
  }

  private void drift(Fault fault) {
    long sign = 1;
    for (NodeHost host : world.nodes()) {
      host.process().setDrift(sign * (long) fault.value());
      sign = -sign;
    }
  }
}
