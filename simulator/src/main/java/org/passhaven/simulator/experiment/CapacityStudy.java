package org.passhaven.simulator.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.passhaven.core.configuration.ConfigurationException;
import org.passhaven.simulator.network.NetworkSettings;
import org.passhaven.simulator.time.VirtualTime;
import org.passhaven.simulator.world.NodeHost;
import org.passhaven.simulator.world.World;
import org.passhaven.simulator.world.WorldSettings;

/**
 * Measures what each role costs a node at several sizes and fits a line through it. Messages and
 * bytes follow from the seed; processor time and memory are this machine's.
 */
public final class CapacityStudy {
  private static final long SEED = 1;
  private static final long WARM_MILLIS = 30_000;
  private static final long MEASURED_MILLIS = 60_000;
  private static final double MILLIS_PER_SECOND = 1_000.0;
  private static final double NANOS_PER_MILLI = 1_000_000.0;
  private static final double BYTES_PER_KILOBYTE = 1_024.0;
  private static final int STEPS_WITHOUT_END = 100_000;
  private static final NetworkSettings NETWORK = new NetworkSettings(100, 1_000, 2_000, 40_000, 2);
  private static final int ZONES = 13;

  /** Costs of one run, a node. */
  public record Cost(
      double bytesPerSecond,
      double messagesPerSecond,
      double cpuMillisPerSecond,
      double kilobytes,
      double intentBytesPerSecond) {}

  private CapacityStudy() {}

  /** All slopes. */
  public static List<Slope> measureAll() throws ConfigurationException {
    List<Slope> slopes = new ArrayList<>();
    slopes.addAll(membership());
    slopes.addAll(engineWatching());
    slopes.addAll(shardOwner());
    slopes.addAll(serving());
    slopes.addAll(configuration());
    return slopes;
  }

  private static List<Slope> membership() throws ConfigurationException {
    List<Slope.Point> sizes = new ArrayList<>();
    List<Cost> costs = new ArrayList<>();
    for (int perZone : new int[] {1, 4, 10, 28}) {
      SyntheticSite site = new SyntheticSite(ZONES, perZone, 1, 0, 1, 1, 1, 0, 0, 0, 0);
      costs.add(measure(site, 0, host -> true));
      sizes.add(new Slope.Point((double) ZONES * perZone, 0));
    }
    return slopes("membership and lists", "nodes", sizes, costs);
  }

  private static List<Slope> engineWatching() throws ConfigurationException {
    List<Slope.Point> sizes = new ArrayList<>();
    List<Cost> costs = new ArrayList<>();
    for (int engines : new int[] {8, 16, 32, 64}) {
      SyntheticSite site = new SyntheticSite(1, 1, engines, 1, 1, 1, 1, 3_600_000, 0, 0, 0);
      costs.add(measure(site, 0, host -> true));
      sizes.add(new Slope.Point(engines, 0));
    }
    return slopes("shard owner, idle", "engines of its part", sizes, costs);
  }

  private static List<Slope> shardOwner() throws ConfigurationException {
    List<Slope.Point> sizes = new ArrayList<>();
    List<Cost> costs = new ArrayList<>();
    for (int prompts : new int[] {8, 16, 32, 64}) {
      SyntheticSite site = new SyntheticSite(1, 1, 24, 1, 1, prompts, 8, 20_000, 0, 0, 0);
      costs.add(measure(site, 0, host -> true));
      sizes.add(new Slope.Point(prompts * 8.0, 0));
    }
    return slopes(
        "shard owner, at work (a step about every 20 s)", "samples of a step", sizes, costs);
  }

  private static List<Slope> serving() throws ConfigurationException {
    List<Slope> slopes = new ArrayList<>();
    List<Slope.Point> sizes = new ArrayList<>();
    List<Cost> costs = new ArrayList<>();
    for (int period : new int[] {40, 20, 10, 5}) {
      SyntheticSite site = new SyntheticSite(1, 1, 1, 0, 1, 1, 1, 0, period, 0, 0);
      costs.add(measure(site, 0, host -> true));
      sizes.add(new Slope.Point(MILLIS_PER_SECOND / period, 0));
    }
    slopes.addAll(slopes("serving lookups", "requests a second", sizes, costs));
    sizes.clear();
    costs.clear();
    for (int percent : new int[] {5, 10, 20, 40}) {
      SyntheticSite site = new SyntheticSite(1, 1, 1, 0, 1, 1, 1, 0, 10, percent, 0);
      costs.add(measure(site, 0, host -> true));
      sizes.add(new Slope.Point(percent * 0.55, 0));
    }
    slopes.addAll(slopes("requests under a key", "such requests a second", sizes, costs));
    return slopes;
  }

  private static List<Slope> configuration() throws ConfigurationException {
    List<Slope> slopes = new ArrayList<>();
    List<Slope.Point> sizes = new ArrayList<>();
    List<Cost> costs = new ArrayList<>();
    for (long period : new long[] {32_000, 16_000, 8_000, 4_000}) {
      costs.add(
          measure(new SyntheticSite(1, 3, 1, 0, 1, 1, 1, 0, 0, 0, 100), period, host -> true));
      sizes.add(new Slope.Point(MILLIS_PER_SECOND / period, 0));
    }
    slopes.addAll(slopes("configuration changes", "changes a second", sizes, costs));
    sizes.clear();
    costs.clear();
    for (int documents : new int[] {100, 200, 400, 800}) {
      costs.add(
          measure(
              new SyntheticSite(1, 3, 1, 0, 1, 1, 1, 0, 0, 0, documents), 32_000, host -> true));
      sizes.add(new Slope.Point(documents, 0));
    }
    slopes.addAll(slopes("configuration size (a change every 32 s)", "documents", sizes, costs));
    return slopes;
  }

  private static List<Slope> slopes(
      String role, String variable, List<Slope.Point> sizes, List<Cost> costs) {
    List<Slope> slopes = new ArrayList<>();
    slopes.add(fit(role + ": bytes", "B/s", variable, sizes, costs, Cost::bytesPerSecond));
    slopes.add(fit(role + ": messages", "1/s", variable, sizes, costs, Cost::messagesPerSecond));
    slopes.add(fit(role + ": processor", "ms/s", variable, sizes, costs, Cost::cpuMillisPerSecond));
    slopes.add(fit(role + ": memory", "KB", variable, sizes, costs, Cost::kilobytes));
    if (costs.stream().anyMatch(cost -> cost.intentBytesPerSecond() > 0)) {
      slopes.add(
          fit(role + ": intent bytes", "B/s", variable, sizes, costs, Cost::intentBytesPerSecond));
    }
    return slopes;
  }

  private static Slope fit(
      String cost,
      String unit,
      String variable,
      List<Slope.Point> sizes,
      List<Cost> costs,
      Function<Cost, Double> value) {
    List<Slope.Point> points = new ArrayList<>();
    for (int i = 0; i < sizes.size(); i++) {
      points.add(new Slope.Point(sizes.get(i).size(), value.apply(costs.get(i))));
    }
    return Slope.fit(cost, unit, variable, points);
  }

  /** Runs a site and measures the mean cost of the nodes that {@code counted} accepts. */
  public static Cost measure(
      SyntheticSite synthetic, long configurationPeriodMillis, Function<NodeHost, Boolean> counted)
      throws ConfigurationException {
    long memoryBefore = usedMemory();
    World world =
        new World(
            new WorldSettings(
                synthetic.site(),
                NETWORK,
                SEED,
                STEPS_WITHOUT_END,
                synthetic.configuration(),
                UnaryOperator.identity(),
                configurationPeriodMillis));
    world.start();
    runTo(world, WARM_MILLIS);
    List<NodeHost> nodes = world.nodes().stream().filter(counted::apply).toList();
    Totals before = Totals.of(nodes);
    runTo(world, WARM_MILLIS + MEASURED_MILLIS);
    Totals after = Totals.of(nodes);
    double seconds = MEASURED_MILLIS / MILLIS_PER_SECOND * nodes.size();
    double kilobytes = (usedMemory() - memoryBefore) / BYTES_PER_KILOBYTE / world.nodes().size();
    // The world must live until its memory was read.
    if (world.time().nowMillis() < WARM_MILLIS) {
      throw new IllegalStateException("the run ended early");
    }
    return new Cost(
        (after.bytes - before.bytes) / seconds,
        (after.messages - before.messages) / seconds,
        (after.cpuNanos - before.cpuNanos) / NANOS_PER_MILLI / seconds,
        Math.max(0, kilobytes),
        (after.intentBytes - before.intentBytes) / seconds);
  }

  private static void runTo(World world, long millis) {
    while (world.time().runNext(millis * VirtualTime.MICROS_PER_MILLI)) {
      // Each event may set up further ones.
    }
  }

  private static long usedMemory() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private record Totals(long bytes, long messages, long cpuNanos, long intentBytes) {
    static Totals of(List<NodeHost> nodes) {
      long bytes = 0;
      long messages = 0;
      long cpu = 0;
      long intents = 0;
      for (NodeHost host : nodes) {
        bytes += host.meter().controlBytes();
        messages += host.meter().controlMessages();
        cpu += host.process().cpuNanos();
        intents += host.meter().intentBytes();
      }
      return new Totals(bytes, messages, cpu, intents);
    }
  }
}
