package org.passhaven.simulator.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.UnaryOperator;
import org.passhaven.core.configuration.ConfigurationException;
import org.passhaven.core.configuration.ConfigurationParser;
import org.passhaven.emulator.check.Report;
import org.passhaven.emulator.load.TrainerModel;
import org.passhaven.emulator.site.CheckedYaml.InvalidFileException;
import org.passhaven.emulator.site.Site;
import org.passhaven.emulator.site.SiteLoader;
import org.passhaven.node.NodeSettings;
import org.passhaven.protocol.ConfigurationDocument;
import org.passhaven.simulator.fault.Fault;
import org.passhaven.simulator.fault.FaultDraw;
import org.passhaven.simulator.fault.FaultInjector;
import org.passhaven.simulator.fault.Scenario;
import org.passhaven.simulator.network.NetworkSettings;
import org.passhaven.simulator.time.VirtualTime;
import org.passhaven.simulator.world.NodeHost;
import org.passhaven.simulator.world.World;
import org.passhaven.simulator.world.WorldSettings;

/** One run of a scenario under one seed. The same inputs give the same report to the byte. */
public final class Simulation {
  private static final long LIMIT_MILLIS = 3_600_000;
  private static final long GRACE_MILLIS = 15_000;
  private static final long SAME_ZONE_MICROS = 100;
  private static final double MILLIS_PER_SECOND = 1_000.0;
  private final Scenario scenario;
  private final long seed;
  private final String policy;
  private final List<Fault> faults;
  private final Site site;
  private final World world;

  /** Prepares a run of a shipped site. */
  public Simulation(
      Scenario scenario, long seed, String policy, UnaryOperator<NodeSettings> nodeSettings)
      throws InvalidFileException, ConfigurationException {
    this.scenario = Objects.requireNonNull(scenario, "scenario");
    this.seed = seed;
    this.policy = Objects.requireNonNull(policy, "policy");
    this.site = SiteLoader.shipped(scenario.site());
    NetworkSettings network =
        new NetworkSettings(
            SAME_ZONE_MICROS,
            site.zoneLatencyMicros(),
            site.clientLatencyMicros(),
            site.zoneLatencyMicros(),
            0);
    this.world =
        new World(
            new WorldSettings(
                site,
                network,
                seed,
                scenario.steps(),
                configurationOf(scenario.site()),
                nodeSettings,
                scenario.configurationPeriodMillis()));
    List<Fault> all = new ArrayList<>(scenario.faults());
    all.addAll(FaultDraw.draw(seed, scenario.randomFaults()));
    this.faults = List.copyOf(all);
  }

  private static List<ConfigurationDocument> configurationOf(String site)
      throws InvalidFileException, ConfigurationException {
    return new ConfigurationParser()
        .parse(
            List.of(
                new ConfigurationParser.SourceFile(site, SiteLoader.shippedConfiguration(site))));
  }

  /** The faults of this run. */
  public List<Fault> faults() {
    return faults;
  }

  /** The world, for tests that look inside. */
  public World world() {
    return world;
  }

  /** Runs to the end. */
  public Report run() {
    world.start();
    new FaultInjector(world).schedule(faults);
    long limitMicros = LIMIT_MILLIS * VirtualTime.MICROS_PER_MILLI;
    while (!world.isDone() && world.time().runNext(limitMicros)) {
      // Each event may set up further ones.
    }
    long graceMicros = world.time().nowMicros() + GRACE_MILLIS * VirtualTime.MICROS_PER_MILLI;
    while (world.time().runNext(graceMicros)) {
      // What is on the way arrives.
    }
    return report();
  }

  private Report report() {
    double idle =
        world.trainers().stream()
            .mapToDouble(
                trainer -> trainer.idleMillis() / (double) Math.max(1, trainer.totalMillis()))
            .average()
            .orElse(0);
    long duration = world.trainers().stream().mapToLong(TrainerModel::totalMillis).max().orElse(0);
    long generated =
        world.engines().stream().mapToLong(engine -> engine.model().generatedTokens()).sum();
    double nodeSeconds = world.nodes().size() * world.time().nowMillis() / MILLIS_PER_SECOND;
    long messages =
        world.nodes().stream()
            .map(NodeHost::meter)
            .mapToLong(meter -> meter.controlMessages())
            .sum();
    long bytes =
        world.nodes().stream().map(NodeHost::meter).mapToLong(meter -> meter.controlBytes()).sum();
    long intents =
        world.nodes().stream().map(NodeHost::meter).mapToLong(meter -> meter.intentBytes()).sum();
    return Report.of(
        scenario.site(),
        policy,
        seed,
        world.checker().findings(),
        new Report.Figures(
            idle,
            oracleIdle(),
            generated,
            messages / nodeSeconds,
            bytes / nodeSeconds,
            intents / nodeSeconds,
            world.log().model().appendedRecords(),
            world.log().model().appendedBytes(),
            duration));
  }

  private double oracleIdle() {
    double sum = 0;
    for (int index = 0; index < site.trainers().size(); index++) {
      sum +=
          Oracle.idleFraction(
              site, site.trainers().get(index), world.trainers().get(index).settings());
    }
    return sum / site.trainers().size();
  }
}
