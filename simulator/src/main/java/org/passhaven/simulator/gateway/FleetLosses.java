package org.passhaven.simulator.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import org.passhaven.simulator.time.VirtualTime;

/** Losses of all nodes at a given moment of a trainer's step, and what callers are told then. */
public final class FleetLosses {
  private static final long NEVER = Long.MAX_VALUE;
  private final VirtualTime time;
  private final SimulatedTrainer trainer;
  private final List<GatewayHost> hosts;
  private final Consumer<GatewayHost> killAndRestart;
  private final List<String> addressesNamed = new ArrayList<>();
  private long lostAtMillis = NEVER;
  private int quickNodes;
  private int slowerByMillis;

  FleetLosses(
      VirtualTime time,
      SimulatedTrainer trainer,
      List<GatewayHost> hosts,
      Consumer<GatewayHost> killAndRestart) {
    this.time = Objects.requireNonNull(time, "time");
    this.trainer = Objects.requireNonNull(trainer, "trainer");
    this.hosts = Objects.requireNonNull(hosts, "hosts");
    this.killAndRestart = Objects.requireNonNull(killAndRestart, "killAndRestart");
  }

  /** All but the first so many nodes need longer to start again. */
  public void setSlowMachines(int quick, int slowerBy) {
    quickNodes = quick;
    slowerByMillis = slowerBy;
  }

  /** How much longer a node needs to start again. */
  int slowerByMillis(GatewayHost host) {
    return hosts.indexOf(host) < quickNodes ? 0 : slowerByMillis;
  }

  /** All nodes are lost soon after the first job that is accepted after a moment. */
  public void loseAllWithAnOpenJob(long fromMillis, long afterMillis) {
    trainer.whenAccepted(() -> loseAll(fromMillis, afterMillis));
  }

  /**
   * All nodes are lost soon after the first step that ends after a moment.
   *
   * @param retryMillis after what time the next job is handed in again that finds no node
   */
  public void loseAllBetweenSteps(long fromMillis, long afterMillis, long retryMillis) {
    trainer.setNoNodeRetryMillis(retryMillis);
    trainer.whenEnded(() -> loseAll(fromMillis, afterMillis));
  }

  private void loseAll(long fromMillis, long afterMillis) {
    if (lostAtMillis == NEVER && time.nowMillis() >= fromMillis) {
      lostAtMillis = time.nowMillis() + afterMillis;
      after(afterMillis, () -> hosts.forEach(killAndRestart));
    }
  }

  private void after(long millis, Runnable task) {
    time.after(millis * VirtualTime.MICROS_PER_MILLI, task);
  }

  /** When all nodes were lost. */
  public long lostAtMillis() {
    return lostAtMillis;
  }

  /** When the first job was accepted after the loss. */
  public long nextAcceptedAtMillis() {
    return trainer.acceptedAtMillis().stream()
        .filter(atMillis -> atMillis > lostAtMillis)
        .findFirst()
        .orElse(NEVER);
  }

  /** Looks at a moment which addresses running nodes name to callers; before the run is played. */
  public void lookAtAddresses(long atMillis) {
    after(
        atMillis,
        () ->
            hosts.stream()
                .filter(GatewayHost::isRunning)
                .forEach(host -> addressesNamed.addAll(addressesOf(host))));
  }

  private static List<String> addressesOf(GatewayHost host) {
    return host.gateway().addressesFor(host.process().zone());
  }

  /** Addresses that were named at the moments looked at, once for each node that named them. */
  public List<String> addressesNamed() {
    return List.copyOf(addressesNamed);
  }
}
