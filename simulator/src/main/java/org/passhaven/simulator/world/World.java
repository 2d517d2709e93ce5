package org.passhaven.simulator.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.passhaven.emulator.check.Checker;
import org.passhaven.emulator.load.CallerApi;
import org.passhaven.emulator.load.CallerModel;
import org.passhaven.emulator.load.TrainerModel;
import org.passhaven.emulator.model.EngineModel;
import org.passhaven.emulator.model.MachineListModel;
import org.passhaven.emulator.model.ServiceModel;
import org.passhaven.emulator.model.WeightStoreModel;
import org.passhaven.emulator.site.Site;
import org.passhaven.node.NodeSettings;
import org.passhaven.protocol.NodeId;
import org.passhaven.protocol.ServerId;
import org.passhaven.simulator.network.SimulatedNetwork;
import org.passhaven.simulator.network.SimulatedPeerTransport;
import org.passhaven.simulator.network.TrafficMeter;
import org.passhaven.simulator.time.SimulatedProcess;
import org.passhaven.simulator.time.VirtualTime;
import org.passhaven.spi.MachineList.Kind;
import org.passhaven.spi.MachineList.Machine;
import org.passhaven.spi.MachineList.State;
import org.passhaven.spi.Platform;

/** A whole simulated site: platform, nodes, load and checker. Everything follows from the seed. */
public final class World {
  private static final long PULL_WAIT_MILLIS = 2_000;
  private static final long FIRST_LOAD_MILLIS = 3_000;
  private final WorldSettings settings;
  private final VirtualTime time = new VirtualTime();
  private final SimulatedNetwork network;
  private final SimulatedLog log;
  private final MachineListModel machineList;
  private final WeightStoreModel weightStore;
  private final Checker checker = new Checker();
  private final UniformRandomProvider random;
  private final List<NodeHost> nodes = new ArrayList<>();
  private final Map<String, NodeHost> nodesByAddress = new HashMap<>();
  private final List<SimulatedEngine> engines = new ArrayList<>();
  private final Map<String, SimulatedEngine> enginesByAddress = new HashMap<>();
  private final List<SimulatedServer> servers = new ArrayList<>();
  private final Map<String, SimulatedServer> serversByAddress = new HashMap<>();
  private final List<TrainerModel> trainers = new ArrayList<>();
  private final List<CallerModel> callers = new ArrayList<>();
  private final List<Machine> machines = new ArrayList<>();
  private final Operators operators;
  private final SimulatedProcess outside;
  private double swapFailure;

  /** Builds the site; {@link #start} begins its life. */
  public World(WorldSettings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(settings.seed());
    this.network = new SimulatedNetwork(time, settings.network(), settings.site().zones(), split());
    this.log = new SimulatedLog(time, network, split());
    this.machineList = new MachineListModel(settings.site().machineListLagMillis());
    this.weightStore = new WeightStoreModel(settings.site().weightCopyMillis());
    this.outside = process("outside", "");
    outside.start();
    buildEngines();
    buildServers();
    buildNodes();
    this.operators =
        new Operators(nodes, outside.timers(), checker, split(), settings.configuration());
    buildTrainers();
    buildCallers();
  }

  private UniformRandomProvider split() {
    return RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong());
  }

  private SimulatedProcess process(String name, String zone) {
    SimulatedProcess process = new SimulatedProcess(time, name, zone);
    network.attach(process);
    return process;
  }

  private void buildEngines() {
    UniformRandomProvider swapDraws = split();
    for (Site.EngineGroup group : settings.site().engineGroups()) {
      for (int index = 0; index < group.count(); index++) {
        String name = group.name() + "-" + index;
        SimulatedProcess process = process(name, settings.site().zoneOf(index));
        EngineModel model =
            new EngineModel(
                new ServerId(name),
                settings.site().engine(),
                group.model(),
                1,
                0,
                weightStore,
                () -> swapDraws.nextDouble() < swapFailure);
        SimulatedEngine engine = new SimulatedEngine(time, network, process, model, checker);
        process.start();
        engines.add(engine);
        enginesByAddress.put(name, engine);
        machines.add(
            new Machine(name, Kind.ENGINE, group.name(), name, process.zone(), State.LIVE));
      }
    }
  }

  private void buildServers() {
    for (Site.ServiceGroup group : settings.site().services()) {
      for (int index = 0; index < group.count(); index++) {
        String name = group.name() + "-" + index;
        SimulatedProcess process = process(name, settings.site().zoneOf(index));
        SimulatedServer server =
            new SimulatedServer(
                time,
                network,
                process,
                new ServiceModel(new ServerId(name), checker),
                checker,
                group.answerMillis() * VirtualTime.MICROS_PER_MILLI);
        process.start();
        servers.add(server);
        serversByAddress.put(name, server);
        machines.add(
            new Machine(name, Kind.SERVICE, group.name(), name, process.zone(), State.LIVE));
      }
    }
  }

  private void buildNodes() {
    int count = settings.site().zones().size() * settings.site().nodesPerZone();
    for (int index = 0; index < count; index++) {
      String name = "node-" + index;
      SimulatedProcess process = process(name, settings.site().zoneOf(index));
      NodeSettings nodeSettings =
          settings
              .nodeSettings()
              .apply(NodeSettings.defaults(new NodeId(name), process.zone(), name, List.of()));
      NodeHost host =
          new NodeHost(nodeSettings, process, new TrafficMeter(), this::platformOf, split());
      nodes.add(host);
      nodesByAddress.put(name, host);
      machines.add(new Machine(name, Kind.NODE, "", name, process.zone(), State.LIVE));
    }
  }

  private Platform platformOf(NodeHost host) {
    SimulatedProcess process = host.process();
    return new Platform(
        log.clientOf(process, host.meter()),
        SimulatedPlatform.machines(machineList, process, network, host.meter()),
        SimulatedPlatform.engines(enginesByAddress, process, host.meter()),
        SimulatedPlatform.services(serversByAddress, process, host.meter()),
        new SimulatedPeerTransport(
            network,
            process,
            address -> nodesByAddress.get(address).node(),
            address -> nodesByAddress.get(address).meter()));
  }

  private void buildTrainers() {
    for (int index = 0; index < settings.site().trainers().size(); index++) {
      Site.TrainerLoad load = settings.site().trainers().get(index);
      TrainerModel.Settings shape =
          new TrainerModel.Settings(
              load.name(),
              settings.steps(),
              load.promptsPerStep(),
              load.samplesPerPrompt(),
              load.trainMillis(),
              load.stalenessBound(),
              load.stepsAhead(),
              PULL_WAIT_MILLIS,
              settings.seed());
      SimulatedTrainerApi api = new SimulatedTrainerApi(network, outside, nodes, index);
      trainers.add(
          new TrainerModel(shape, api, outside.timers(), checker, this::stopCallersIfDone));
    }
  }

  private void buildCallers() {
    for (Site.CallerLoad load : settings.site().callers()) {
      for (int zone = 0; zone < settings.site().zones().size(); zone++) {
        List<CallerApi> apis = new ArrayList<>();
        for (int offset = 0; offset < nodes.size(); offset++) {
          apis.add(
              new SimulatedCallerApi(network, outside, nodes.get((zone + offset) % nodes.size())));
        }
        UniformRandomProvider draws = split();
        callers.add(
            new CallerModel(
                new CallerModel.Settings(
                    load.service() + "-" + zone,
                    load.service(),
                    load.periodMillis(),
                    load.oncePercent(),
                    load.repeatPercent()),
                apis,
                outside.timers(),
                checker,
                draws::nextInt));
      }
    }
  }

  private void stopCallersIfDone() {
    if (isDone()) {
      callers.forEach(CallerModel::stop);
    }
  }

  /** Begins: nodes at once, then the configuration, then the load. */
  public void start() {
    machineList.put(machines, -settings.site().machineListLagMillis());
    nodes.forEach(NodeHost::start);
    operators.start();
    operators.applyBase();
    if (settings.configurationPeriodMillis() > 0) {
      operators.applyEvery(settings.configurationPeriodMillis());
    }
    time.after(
        FIRST_LOAD_MILLIS * VirtualTime.MICROS_PER_MILLI,
        () -> {
          trainers.forEach(TrainerModel::start);
          callers.forEach(CallerModel::start);
        });
  }

  /** Whether every trainer has trained its last step. */
  public boolean isDone() {
    return trainers.stream().allMatch(TrainerModel::isDone);
  }

  /** Virtual time. */
  public VirtualTime time() {
    return time;
  }

  /** The network. */
  public SimulatedNetwork network() {
    return network;
  }

  /** The log. */
  public SimulatedLog log() {
    return log;
  }

  /** The machine list. */
  public MachineListModel machineList() {
    return machineList;
  }

  /** The weight store. */
  public WeightStoreModel weightStore() {
    return weightStore;
  }

  /** The judge. */
  public Checker checker() {
    return checker;
  }

  /** Nodes' machines. */
  public List<NodeHost> nodes() {
    return nodes;
  }

  /** Engines. */
  public List<SimulatedEngine> engines() {
    return engines;
  }

  /** Service servers. */
  public List<SimulatedServer> servers() {
    return servers;
  }

  /** Trainers. */
  public List<TrainerModel> trainers() {
    return trainers;
  }

  /** Operators. */
  public Operators operators() {
    return operators;
  }

  /** Zones of the site. */
  public List<String> zones() {
    return settings.site().zones();
  }

  /** Share of weight swaps that fail from now on. */
  public void setSwapFailure(double share) {
    swapFailure = share;
  }
}
