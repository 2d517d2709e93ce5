package org.passhaven.simulator.network;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.passhaven.simulator.time.SimulatedProcess;
import org.passhaven.simulator.time.VirtualTime;

/**
 * Carries messages between processes with latency by zone; may lose, delay or double them, and be
 * cut.
 */
public final class SimulatedNetwork {
  private static final double JITTER = 0.2;
  private static final String PLATFORM_ZONE = "";
  private final VirtualTime time;
  private final NetworkSettings settings;
  private final List<String> zones;
  private final UniformRandomProvider random;
  private final Map<String, SimulatedProcess> processes = new HashMap<>();
  private final Set<String> cutZones = new HashSet<>();
  private final Map<String, Long> joinedAtMicros = new HashMap<>();
  private double lossProbability;
  private double duplicateProbability;
  private long extraDelayMicros;

  /** Creates a network over the zones of a site. */
  public SimulatedNetwork(
      VirtualTime time,
      NetworkSettings settings,
      List<String> zones,
      UniformRandomProvider random) {
    this.time = Objects.requireNonNull(time, "time");
    this.settings = Objects.requireNonNull(settings, "settings");
    this.zones = List.copyOf(zones);
    this.random = Objects.requireNonNull(random, "random");
  }

  /** Makes a process reachable by its name. */
  public void attach(SimulatedProcess process) {
    processes.put(process.name(), process);
  }

  /** The process at an address, or null. */
  public SimulatedProcess at(String address) {
    return processes.get(address);
  }

  /** Cuts a zone off from the others and from the platform, or joins it again. */
  public void setCut(String zone, boolean isCut) {
    if (isCut) {
      cutZones.add(zone);
    } else {
      cutZones.remove(zone);
      joinedAtMicros.put(zone, time.nowMicros());
    }
  }

  /** Share of messages between nodes that are lost, or arrive twice. */
  public void setFaults(double loss, double duplicate, long delayMicros) {
    lossProbability = loss;
    duplicateProbability = duplicate;
    extraDelayMicros = delayMicros;
  }

  /** Whether a zone has reached the platform for at least so long. */
  public boolean hasReachedPlatformFor(String zone, long micros) {
    long joinedAt = joinedAtMicros.getOrDefault(zone, Long.MIN_VALUE / 2);
    return !cutZones.contains(zone) && time.nowMicros() - joinedAt >= micros;
  }

  /** Whether two zones reach each other; an empty name is the platform's. */
  public boolean isOpen(String fromZone, String toZone) {
    return fromZone.equals(toZone) || (!cutZones.contains(fromZone) && !cutZones.contains(toZone));
  }

  /** Whether a message between nodes is lost. */
  public boolean drawLoss() {
    return lossProbability > 0 && random.nextDouble() < lossProbability;
  }

  /** Whether a message between nodes arrives twice. */
  public boolean drawDuplicate() {
    return duplicateProbability > 0 && random.nextDouble() < duplicateProbability;
  }

  /** Time of one message on the way. */
  public long latencyMicros(String fromZone, String toZone) {
    long base = baseMicros(fromZone, toZone);
    long extra = extraDelayMicros == 0 ? 0 : (long) (random.nextDouble() * extraDelayMicros);
    return extra + base + (long) (random.nextDouble() * JITTER * base);
  }

  private long baseMicros(String fromZone, String toZone) {
    if (fromZone.equals(toZone)) {
      return settings.sameZoneMicros();
    }
    if (fromZone.equals(PLATFORM_ZONE) || toZone.equals(PLATFORM_ZONE)) {
      return settings.zoneMicros();
    }
    return sameRegion(fromZone, toZone) ? settings.zoneMicros() : settings.regionMicros();
  }

  private boolean sameRegion(String first, String second) {
    int size = settings.zonesPerRegion();
    return size == 0 || zones.indexOf(first) / size == zones.indexOf(second) / size;
  }

  /** Time of one message between a client and its node. */
  public long clientLatencyMicros() {
    return settings.clientMicros()
        + (long) (random.nextDouble() * JITTER * settings.clientMicros());
  }

  /**
   * Runs a task at a process after a delay; dropped if that start of the process is gone by then.
   */
  public void deliver(SimulatedProcess to, long delayMicros, Runnable task) {
    long generation = to.generation();
    time.after(delayMicros, () -> to.execute(generation, task));
  }
}
