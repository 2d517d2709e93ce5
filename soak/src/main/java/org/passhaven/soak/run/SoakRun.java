package org.passhaven.soak.run;

import io.vertx.core.Future;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.passhaven.platform.standin.NodePlace;
import org.passhaven.platform.standin.StandinPlatform;
import org.passhaven.platform.standin.StandinSettings;
import org.passhaven.platform.standin.server.ServerControl;
import org.passhaven.soak.check.Bounds;
import org.passhaven.soak.fault.FaultSchedule;
import org.passhaven.soak.plan.Addition;
import org.passhaven.soak.plan.BackEndHarm;
import org.passhaven.soak.plan.Fault;
import org.passhaven.soak.plan.FaultPlan;
import org.passhaven.soak.plan.FaultPlanner;
import org.passhaven.soak.plan.LinkHarm;
import org.passhaven.soak.plan.PlanSettings;
import org.passhaven.soak.plan.ProcessHarm;

/** One run from start to verdict. */
public final class SoakRun {
  private static final long START_MILLIS = 60_000;
  // After the first connections are taken the nodes still read the store and find each other.
  private static final long WARM_MILLIS = 3_000;
  private static final long STEP_MILLIS = 500;
  private static final int STEPS_PER_PROGRESS = 8;
  private static final long FINAL_DOWN_MILLIS = 1_000;
  // recoverS of the example on the platform's page on deployment.
  private static final long RECOVER_MILLIS = 12_000;
  private static final long CALL_SECONDS = 5;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final SoakSettings settings;
  private final Consumer<String> progress;
  private final FaultPlan plan;
  private final HistoryLog history;
  private final Links links;
  private final PortClaim ports;
  private final StandinPlatform platform;
  private final Nodes nodes;
  private final List<NodePlace> places;
  private final RunFolder folder;
  private int stepCount;

  private SoakRun(SoakSettings settings, RunFolder folder, Consumer<String> progress)
      throws IOException {
    this.settings = settings;
    this.progress = progress;
    this.folder = folder;
    this.links = new Links();
    this.ports = PortClaim.of(settings.nodeCount() * Places.PORTS_PER_NODE);
    this.places = new Places(settings, links).list(ports.ports());
    StandinSettings standin = StandinFigures.of(settings, places);
    this.plan = plan(settings, StandinFigures.backEndCount(standin));
    this.history = new HistoryLog(folder.history(), settings.load().eventCharacters());
    this.platform = StandinPlatform.start(standin, history, links::listed);
    Places doors = new Places(settings, links);
    this.nodes =
        new Nodes(
            settings,
            places,
            (place, index) ->
                platform.settingsFile(
                    place.name(), doors.storeVia(index, platform.storeAddress(place.name()))),
            Math.round(standin.bounds().graceSeconds() * MILLIS_PER_SECOND),
            platform::nowMillis,
            history);
  }

  private static FaultPlan plan(SoakSettings settings, int backEndCount) {
    FaultPlan plan =
        FaultPlanner.plan(
            settings.seed(),
            new PlanSettings(
                settings.nodeCount(),
                backEndCount,
                settings.trafficMillis(),
                settings.isFinalFaultCertain(),
                settings.additions()));
    return settings.isCalm() ? calm(settings, plan) : plan;
  }

  /** The plan reduced to faults that are enabled by an option of their own. */
  private static FaultPlan calm(SoakSettings settings, FaultPlan plan) {
    List<Fault> asked =
        plan.faults().stream().filter(fault -> isAskedFor(settings, fault)).toList();
    return new FaultPlan(plan.seed(), plan.trafficMillis(), asked, settings.isFinalFaultCertain());
  }

  private static boolean isAskedFor(SoakSettings settings, Fault fault) {
    return (fault instanceof Fault.OnLink on && on.harm() == LinkHarm.MUTE)
        || fault instanceof Fault.OnCallers
        || fault instanceof Fault.Evacuation
        || fault instanceof Fault.ColdRestart
        || fault instanceof Fault.SecondAnswers
        || fault instanceof Fault.BrokenAnswers
        || fault instanceof Fault.CrashWave
        || (fault instanceof Fault.OnBackEnd on && on.harm() == BackEndHarm.ENDLESS)
        || (settings.has(Addition.HARD_LOAD) && fault instanceof Fault.UnevenBackEnd);
  }

  /** Does a run; lines of progress and the verdict's lines go to the consumer. */
  public static Verdict run(SoakSettings settings, Consumer<String> progress)
      throws IOException, InterruptedException {
    RunFolder folder = RunFolder.create(settings.folder());
    progress.accept("seed " + settings.seed() + ": " + settings.folder());
    SoakRun run = new SoakRun(settings, folder, progress);
    Thread hook = new Thread(run.nodes::retireAll, "ends-nodes");
    Runtime.getRuntime().addShutdownHook(hook);
    try {
      Verdict verdict = run.play();
      verdict.lines().forEach(progress);
      return verdict;
    } finally {
      run.nodes.close();
      run.platform.close();
      run.links.close();
      run.ports.close();
      run.history.close();
      Runtime.getRuntime().removeShutdownHook(hook);
    }
  }

  private Verdict play() throws IOException, InterruptedException {
    folder.writePlan(settings, plan);
    nodes.startAll();
    if (!nodes.awaitListening(START_MILLIS)) {
      throw new IOException(
          "a node takes no connections after " + START_MILLIS + " ms; see the logs in the folder");
    }
    Thread.sleep(WARM_MILLIS);
    platform.begin();
    SoakHands hands = new SoakHands(settings, nodes, links, platform, history);
    try (MemoryWatch memory =
            new MemoryWatch(places, nodes, settings.folder(), platform::nowMillis, history);
        FaultSchedule schedule = new FaultSchedule(hands, this::tellFault)) {
      memory.begin();
      schedule.add(plan.faults());
      pass(settings.trafficMillis());
      awaitCalm(schedule);
      if (plan.isFinalFault()) {
        schedule.add(List.of(finalFault()));
        pass(RECOVER_MILLIS);
        awaitCalm(schedule);
      }
    }
    return readBackAndJudge();
  }

  private Fault finalFault() {
    ProcessHarm harm = settings.seed() % 2 == 0 ? ProcessHarm.KILL : ProcessHarm.POWER_LOSS;
    return new Fault.OnProcess(
        0, FINAL_DOWN_MILLIS, harm, IntStream.range(0, nodes.count()).boxed().toList());
  }

  private void tellFault(Fault fault) {
    String where = fault.nodes().isEmpty() ? "" : " at nodes " + fault.nodes();
    progress.accept(
        platform.nowMillis() / MILLIS_PER_SECOND
            + " s, fault: "
            + fault.kind()
            + where
            + " for "
            + fault.forMillis()
            + " ms");
  }

  private void awaitCalm(FaultSchedule schedule) throws InterruptedException {
    long untilMillis = platform.nowMillis() + START_MILLIS;
    while (schedule.openCount() > 0 && platform.nowMillis() < untilMillis) {
      step("faults end");
    }
    nodes.awaitListening(START_MILLIS);
  }

  private Verdict readBackAndJudge() throws IOException, InterruptedException {
    platform.clients().stop();
    long untilMillis = platform.nowMillis() + StandinFigures.finishMillis();
    while (platform.nowMillis() < untilMillis && await(platform.clients().openSteps()) > 0) {
      step("last jobs");
    }
    long readBackFromMillis = platform.nowMillis();
    Future<Integer> reading =
        platform.clients().readAllBack(StandinFigures.readBackMillis(settings));
    while (!reading.isComplete()) {
      step("reading back");
    }
    history.close();
    progress.accept("readings that could not be done: " + reading.result());
    return judge(readBackFromMillis);
  }

  private Verdict judge(long readBackFromMillis) throws IOException {
    Bounds bounds =
        Bounds.usual()
            .withStatusMillis(settings.load().statusSeconds() * MILLIS_PER_SECOND)
            .withRecoverMillis(settings.load().recoverSeconds() * MILLIS_PER_SECOND)
            .withVersionsBehind(settings.load().ahead());
    JudgedRun run =
        new JudgedRun(
            settings.seed(),
            settings.trafficMillis(),
            plan.isFinalFault(),
            plan.countsByKind(),
            places.stream().map(NodePlace::name).toList(),
            bounds,
            readBackFromMillis);
    Verdict verdict = run.judge(history.sorted(), history.counts());
    folder.writeVerdict(run, verdict);
    return verdict;
  }

  private void pass(long millis) throws InterruptedException {
    long untilMillis = platform.nowMillis() + millis;
    while (platform.nowMillis() < untilMillis) {
      step("traffic");
    }
  }

  private void step(String phase) throws InterruptedException {
    Thread.sleep(STEP_MILLIS);
    stepCount++;
    if (stepCount % STEPS_PER_PROGRESS == 0) {
      // Those that have left or crashed are replaced; those that run aren't touched.
      platform.servers().forEach(ServerControl::start);
      progress.accept(progressLine(phase));
    }
  }

  private String progressLine(String phase) {
    Map<String, Long> seen = new TreeMap<>(history.counts());
    List<String> parts = new ArrayList<>();
    for (String kind :
        List.of("JobAccepted", "EndAcknowledged", "ResultsRead", "RequestAnswered")) {
      parts.add(kind + " " + seen.getOrDefault(kind, 0L));
    }
    return platform.nowMillis() / MILLIS_PER_SECOND
        + " s, "
        + phase
        + ": "
        + String.join(", ", parts);
  }

  private static <T> T await(Future<T> future) {
    try {
      return future.toCompletionStage().toCompletableFuture().get(CALL_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    } catch (ExecutionException | TimeoutException e) {
      throw new IllegalStateException("the stand-in does not answer: " + e, e);
    }
  }
}
