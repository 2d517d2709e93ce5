package org.passhaven.emulator.http;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.vertx.core.AbstractVerticle;
import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.passhaven.emulator.check.Checker;
import org.passhaven.emulator.check.Report;
import org.passhaven.emulator.load.CallerApi;
import org.passhaven.emulator.load.CallerModel;
import org.passhaven.emulator.load.TrainerModel;
import org.passhaven.emulator.model.EngineModel;
import org.passhaven.emulator.model.EngineSettings;
import org.passhaven.emulator.model.LogModel;
import org.passhaven.emulator.model.MachineListModel;
import org.passhaven.emulator.model.ServiceModel;
import org.passhaven.emulator.model.WeightStoreModel;
import org.passhaven.emulator.site.Site;
import org.passhaven.protocol.ServerId;
import org.passhaven.spi.MachineList.Kind;
import org.passhaven.spi.MachineList.Machine;
import org.passhaven.spi.MachineList.State;
import org.passhaven.spi.Timers;
import org.passhaven.standin.VertxTimers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The whole emulated platform with its load, each stand-in on an event loop of its own: log,
 * machine list, engines, servers, trainers, callers and the checker.
 */
public final class Emulator extends AbstractVerticle {
  private static final Logger LOG = LoggerFactory.getLogger(Emulator.class);
  private static final long PULL_WAIT_MILLIS = 2_000;
  private static final int MOST_CONNECTIONS = 256;
  private final Site site;
  private final EmulatorSettings settings;
  private final Checker checker = new Checker();
  private final LogModel log = new LogModel();
  private final List<EngineModel> engines = new ArrayList<>();
  private final List<TrainerModel> trainers = new ArrayList<>();
  private final List<CallerModel> callers = new ArrayList<>();
  private final List<Machine> machines = new ArrayList<>();
  private MachineListModel machineList;
  private Timers timers;
  private UniformRandomProvider random;
  private int nextPort;
  private int trainersLeft;

  /** Creates the platform; deploying it starts all stand-ins, {@link #startLoad} the load. */
  public Emulator(Site site, EmulatorSettings settings) {
    this.site = Objects.requireNonNull(site, "site");
    this.settings = Objects.requireNonNull(settings, "settings");
  }

  /** Address of the log. */
  public String logAddress() {
    return settings.host() + ":" + settings.basePort();
  }

  /** Address of the machine list. */
  public String machineListAddress() {
    return settings.host() + ":" + (settings.basePort() + 1);
  }

  /** Judge of the run. */
  public Checker checker() {
    return checker;
  }

  @Override
  public Uni<Void> asyncStart() {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(settings.seed());
    timers = new VertxTimers(vertx);
    machineList = new MachineListModel(site.machineListLagMillis());
    nextPort = settings.basePort() + 2;
    List<Uni<Void>> listening = new ArrayList<>();
    listening.add(
        listen(
            settings.basePort(), loop -> new LogServer(log, new VertxTimers(loop)).router(loop)));
    listening.add(listen(settings.basePort() + 1, this::machineListRouter));
    listening.addAll(startEngines());
    listening.addAll(startServices());
    addNodes();
    machineList.put(machines, timers.nowMillis() - site.machineListLagMillis());
    return Uni.join().all(listening).andFailFast().replaceWithVoid();
  }

  private Uni<Void> listen(int port, Function<Vertx, Router> router) {
    return vertx.deployVerticle(new StandIn(settings.host(), port, router)).replaceWithVoid();
  }

  private Router machineListRouter(Vertx loop) {
    Router router = Router.router(loop);
    router
        .get("/machines")
        .handler(
            routing ->
                Exchange.answer(
                    routing,
                    machineList.fetch(
                        Exchange.longParameter(routing, "since"), timers.nowMillis())));
    return router;
  }

  private List<Uni<Void>> startEngines() {
    List<Uni<Void>> listening = new ArrayList<>();
    WeightStoreModel store = new WeightStoreModel(scaled(site.weightCopyMillis()));
    for (Site.EngineGroup group : site.engineGroups()) {
      for (int index = 0; index < group.count(); index++) {
        ServerId id = new ServerId(group.name() + "-" + index);
        EngineModel engine =
            new EngineModel(id, scaledEngine(), group.model(), 1, 0, store, () -> false);
        engines.add(engine);
        listening.add(
            listen(
                addMachine(id.value(), Kind.ENGINE, group.name(), index),
                loop -> new EngineServer(engine, new VertxTimers(loop)).router(loop)));
      }
    }
    return listening;
  }

  private List<Uni<Void>> startServices() {
    List<Uni<Void>> listening = new ArrayList<>();
    for (Site.ServiceGroup group : site.services()) {
      for (int index = 0; index < group.count(); index++) {
        ServiceModel service = new ServiceModel(new ServerId(group.name() + "-" + index), checker);
        int port = addMachine(service.id().value(), Kind.SERVICE, group.name(), index);
        listening.add(
            listen(
                port,
                loop ->
                    new ServiceServer(service, new VertxTimers(loop), group.answerMillis())
                        .router(loop)));
      }
    }
    return listening;
  }

  private int addMachine(String id, Kind kind, String group, int index) {
    int port = nextPort++;
    machines.add(
        new Machine(id, kind, group, settings.host() + ":" + port, site.zoneOf(index), State.LIVE));
    return port;
  }

  private void addNodes() {
    for (int index = 0; index < settings.nodes().size(); index++) {
      machines.add(
          new Machine(
              "node-" + index,
              Kind.NODE,
              "",
              settings.nodes().get(index),
              site.zoneOf(index),
              State.LIVE));
    }
  }

  private EngineSettings scaledEngine() {
    EngineSettings engine = site.engine();
    return new EngineSettings(
        engine.capacity(),
        scaled(engine.stepMillis()),
        engine.tokensPerStep(),
        engine.prefillTokensPerStep(),
        engine.promptTokens(),
        engine.cacheTokens(),
        scaled(engine.swapMillis()),
        scaled(engine.reportLagMillis()));
  }

  private long scaled(long millis) {
    return Math.max(1, millis / settings.timeScale());
  }

  /**
   * Starts trainers and callers; {@code onDone} runs when every trainer has trained its last step.
   */
  public void startLoad(Runnable onDone) {
    context.runOnContext(ignored -> beginLoad(onDone));
  }

  private void beginLoad(Runnable onDone) {
    WebClient client =
        WebClient.create(vertx, new WebClientOptions().setMaxPoolSize(MOST_CONNECTIONS));
    trainersLeft = site.trainers().size();
    for (int index = 0; index < site.trainers().size(); index++) {
      Site.TrainerLoad load = site.trainers().get(index);
      List<String> nodes = new ArrayList<>(settings.nodes());
      java.util.Collections.rotate(nodes, -index);
      TrainerModel trainer =
          new TrainerModel(
              new TrainerModel.Settings(
                  load.name(),
                  settings.steps(),
                  load.promptsPerStep(),
                  load.samplesPerPrompt(),
                  scaled(load.trainMillis()),
                  load.stalenessBound(),
                  load.stepsAhead(),
                  PULL_WAIT_MILLIS,
                  settings.seed()),
              new HttpTrainerApi(client, nodes),
              timers,
              checker,
              () -> onTrainerDone(onDone));
      trainers.add(trainer);
      trainer.start();
    }
    startCallers(client);
    LOG.info("emulator: {} trainers and {} callers are running", trainers.size(), callers.size());
  }

  private void startCallers(WebClient client) {
    for (Site.CallerLoad load : site.callers()) {
      for (int zone = 0; zone < site.zones().size(); zone++) {
        List<CallerApi> nodes = new ArrayList<>();
        settings.nodes().forEach(node -> nodes.add(new HttpCallerApi(client, node)));
        java.util.Collections.rotate(nodes, -zone);
        CallerModel caller =
            new CallerModel(
                new CallerModel.Settings(
                    load.service() + "-" + zone,
                    load.service(),
                    load.periodMillis(),
                    load.oncePercent(),
                    load.repeatPercent()),
                nodes,
                timers,
                checker,
                random::nextInt);
        callers.add(caller);
        caller.start();
      }
    }
  }

  private void onTrainerDone(Runnable onDone) {
    trainersLeft--;
    if (trainersLeft == 0) {
      callers.forEach(CallerModel::stop);
      timers.after(PULL_WAIT_MILLIS, onDone);
    }
  }

  /** The report of the run so far. */
  public Report report() {
    double idle =
        trainers.stream()
            .mapToDouble(t -> t.idleMillis() / (double) Math.max(1, t.totalMillis()))
            .average()
            .orElse(0);
    long duration = trainers.stream().mapToLong(TrainerModel::totalMillis).max().orElse(0);
    long generated = engines.stream().mapToLong(EngineModel::generatedTokens).sum();
    return Report.of(
        site.name(),
        "default",
        settings.seed(),
        checker.findings(),
        new Report.Figures(
            idle, 0, generated, 0, 0, 0, log.appendedRecords(), log.appendedBytes(), duration));
  }
}
