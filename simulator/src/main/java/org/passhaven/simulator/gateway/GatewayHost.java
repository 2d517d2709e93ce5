package org.passhaven.simulator.gateway;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.apache.commons.rng.UniformRandomProvider;
import org.passhaven.node.gateway.Gateway;
import org.passhaven.node.gateway.GatewayContext;
import org.passhaven.node.gateway.GatewayMetrics;
import org.passhaven.node.gateway.GatewaySettings;
import org.passhaven.simulator.time.SimulatedProcess;
import org.passhaven.simulator.time.VirtualTime;

/** A machine that runs a gateway node; each start is a new node with nothing in memory. */
public final class GatewayHost {
  private static final long END_MILLIS = 600;
  private static final long STORE_BACK_MILLIS = 1_500;
  private final VirtualTime time;
  private final GatewaySettings settings;
  private final SimulatedProcess process;
  private final SimulatedStore store;
  private final SimulatedServers servers;
  private final SimulatedDuties duties;
  private final UniformRandomProvider random;
  private Gateway gateway;
  private boolean cut;
  private long troubledUntilMillis;

  /** Creates a host that is not started. */
  GatewayHost(
      VirtualTime time,
      GatewaySettings settings,
      SimulatedProcess process,
      SimulatedStore store,
      SimulatedServers servers,
      SimulatedDuties duties,
      UniformRandomProvider random) {
    this.time = time;
    this.settings = settings;
    this.process = process;
    this.store = store;
    this.servers = servers;
    this.duties = duties;
    this.random = random;
  }

  /** Starts a node. */
  public void start() {
    long generation = process.start();
    gateway =
        new Gateway(
            new GatewayContext(
                settings,
                generation,
                process.timers(),
                random::nextInt,
                store.clientOf(process, () -> cut),
                store.clientOf(process, () -> cut),
                servers.clientOf(process),
                duties.clientOf(process),
                new SimulatedDocuments(),
                new GatewayMetrics(new SimpleMeterRegistry())));
    process.execute(generation, gateway::start);
    note(0);
  }

  /** Ends the node at once. */
  public void kill() {
    process.kill();
    gateway = null;
  }

  /** Stops the node from running for a while. */
  public void pause(long forMillis) {
    stopFor(forMillis, process::pause);
  }

  /**
   * Suspends the machine for a while: its monotonic clock does not count the time. Its connections
   * to the store are dead when it wakes, and new ones come up a little later.
   */
  public void suspend(long forMillis) {
    if (gateway != null) {
      cutFromStore(forMillis + STORE_BACK_MILLIS);
      stopFor(forMillis, process::suspend);
    }
  }

  private void stopFor(long forMillis, Runnable stop) {
    if (gateway == null) {
      return;
    }
    long generation = process.generation();
    stop.run();
    note(forMillis);
    time.after(
        forMillis * VirtualTime.MICROS_PER_MILLI,
        () -> {
          if (process.generation() == generation) {
            process.resume();
          }
        });
  }

  /** Cuts the node from the store for a while. */
  public void cutFromStore(long forMillis) {
    cut = true;
    note(forMillis);
    time.after(forMillis * VirtualTime.MICROS_PER_MILLI, () -> cut = false);
  }

  /** Planned stop: the node leaves and ends after {@code graceMillis}. */
  public void leave(long graceMillis) {
    if (gateway == null || process.isPaused()) {
      return;
    }
    long generation = process.generation();
    Gateway leaving = gateway;
    long endMillis = process.timers().nowMillis() + graceMillis - END_MILLIS;
    process.execute(generation, () -> leaving.drain(endMillis).subscribe().with(ignored -> {}));
    note(graceMillis);
    time.after(
        (graceMillis - END_MILLIS) * VirtualTime.MICROS_PER_MILLI,
        () -> process.execute(generation, () -> leaving.close().subscribe().with(ignored -> {})));
    time.after(
        graceMillis * VirtualTime.MICROS_PER_MILLI,
        () -> {
          if (process.generation() == generation) {
            kill();
          }
        });
  }

  private void note(long forMillis) {
    troubledUntilMillis = Math.max(troubledUntilMillis, time.nowMillis() + forMillis);
  }

  /** Whether the node has run without trouble for a time. */
  public boolean isSoundFor(long millis) {
    return isRunning() && !cut && time.nowMillis() - troubledUntilMillis >= millis;
  }

  /** Whether the node runs and is not paused. */
  public boolean isRunning() {
    return gateway != null && process.isAlive() && !process.isPaused();
  }

  /** The node that runs; null if none does. */
  public Gateway gateway() {
    return gateway;
  }

  /** The process. */
  public SimulatedProcess process() {
    return process;
  }
}
