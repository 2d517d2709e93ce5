package org.passhaven.simulator.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import org.passhaven.simulator.time.VirtualTime;

/**
 * Plans the loss of all nodes at a moment of a trainer's step, and records what callers are told
 * then.
 */
public final class FleetLosses {
  private static final long NEVER = Long.MAX_VALUE;
  private final VirtualTime time;
  private final SimulatedTrainer trainer;
  private final List<GatewayHost> hosts;
  private final Consumer<GatewayHost> killAndRestart;
  private final List<String> addressesNamed = new ArrayList<>();
  private long lostAtMillis = NEVER;
  private int fastNodes;
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

  /** Makes restarts of all but the first nodes slower. */
  public void setSlowMachines(int fast, int slowerBy) {
    fastNodes = fast;
    slowerByMillis = slowerBy;
  }

  /** Additional time that a node's restart takes. */
  int slowerByMillis(GatewayHost host) {
    return hosts.indexOf(host) < fastNodes ? 0 : slowerByMillis;
  }

  /** Kills all nodes a while after the first job that is accepted from a given time on. */
  public void loseAllWithAnOpenJob(long fromMillis, long afterMillis) {
    trainer.whenAccepted(() -> loseAll(fromMillis, afterMillis));
  }

  /**
   * Kills all nodes a while after the first step that ends from a given time on.
   *
   * @param retryMillis time after which a job that found no node is submitted again
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

  /** Time at which all nodes were killed. */
  public long lostAtMillis() {
    return lostAtMillis;
  }

  /** Time at which the first job was accepted after the loss. */
  public long nextAcceptedAtMillis() {
    return trainer.acceptedAtMillis().stream()
        .filter(atMillis -> atMillis > lostAtMillis)
        .findFirst()
        .orElse(NEVER);
  }

  /**
   * Plans to record the addresses that running nodes return to callers at a given time. To be
   * called before the run is played.
   */
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

  /** The recorded addresses, once for each node that returned them. */
  public List<String> addressesNamed() {
    return List.copyOf(addressesNamed);
  }
}
