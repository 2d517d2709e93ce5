package org.passhaven.core.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.order.LoadLimit;
import org.passhaven.core.order.VersionOrderPlanner;
import org.passhaven.core.order.VersionOrderPlanner.Wanted;
import org.passhaven.core.order.WeightDemand;

/**
 * Simulation of trainers' runs on one set of model servers in virtual time. Each run has a
 * scheduler of its own. A step's items begin together; each step names a weight version, which a
 * few servers load at a time.
 */
final class PlacementWorld {
  private static final long STEP_MILLIS = 4_000;
  private static final long TRAINING_MILLIS = 500;
  private static final long DECIDE_MILLIS = 20;
  private static final long ONE_WAY_MILLIS = 1;
  private static final long LOAD_MILLIS = 950;
  private static final long MOMENT_MILLIS = 600;
  private static final double MOMENT_SLOWNESS = 2.5;
  private static final double MOMENT_SHARE = 0.15;
  private static final int MAX_EVENTS = 159;
  private static final long BEAT_MILLIS = 500;

  /** Results of one simulation. */
  record Report(
      int sent,
      int refused,
      int loads,
      int moved,
      int stalled,
      int steps,
      double millisTo90,
      double millisTo100) {}

  /** A generation as its runner knows it. */
  record Generation(Runner runner, long attempt, FakeModelServer server) {}

  private record Timed(long atMillis, long number, Runnable task) {}

  private final PriorityQueue<Timed> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Timed::atMillis).thenComparing(Timed::number));
  private final Random random;
  private final Map<String, FakeModelServer> servers = new TreeMap<>();
  private final List<Runner> runners = new ArrayList<>();
  private final VersionOrderPlanner planner = new VersionOrderPlanner(new LoadLimit(2, 0.3));
  final Map<String, NamedVersion> named = new HashMap<>();
  private final boolean versionsMatter;
  private long now;
  private long taskNumber;
  private int sent;
  private int refused;
  private int loads;
  private int moved;
  private int stalled;
  private final List<Long> to90 = new ArrayList<>();
  private final List<Long> to100 = new ArrayList<>();

  /**
   * Creates a world.
   *
   * @param slowness how much longer than usual events take, by server in turns
   * @param hasMoments whether servers are slow for moments
   * @param versionsMatter whether steps name weight versions, which servers load
   */
  PlacementWorld(
      long seed, int serverCount, double[] slowness, boolean hasMoments, boolean versionsMatter) {
    this.random = new Random(seed);
    this.versionsMatter = versionsMatter;
    List<String> models = List.of("m0", "m1", "m2");
    for (int i = 0; i < serverCount; i++) {
      String name = String.format("s%02d", i);
      servers.put(name, new FakeModelServer(name, slowness[i % slowness.length], models, this));
    }
    if (hasMoments) {
      servers.values().forEach(this::planMoment);
    }
  }

  /** Adds a run with steps of {@code groups} groups. */
  void addRun(String model, int groups, int itemsOfGroup, int wantedGroups) {
    runners.add(new Runner(this, model, groups, itemsOfGroup, wantedGroups));
  }

  /** Runs for a time; steps that have not ended by then do not count. */
  Report play(long millis) {
    for (Runner runner : runners) {
      after(random.nextInt(300), () -> runner.beginStep(1));
      every(DECIDE_MILLIS, runner::decide);
      long readAt = random.nextInt(250);
      every(BEAT_MILLIS, () -> shareUse(runner, readAt));
    }
    every(10, this::orderLoads);
    while (!tasks.isEmpty() && tasks.peek().atMillis() <= millis) {
      Timed next = tasks.remove();
      now = next.atMillis();
      next.task().run();
    }
    return new Report(sent, refused, loads, moved, stalled, to90.size(), mean(to90), mean(to100));
  }

  private static double mean(List<Long> values) {
    return values.stream().mapToLong(value -> value).average().orElse(0);
  }

  private void shareUse(Runner from, long readAfterMillis) {
    from.share(readAfterMillis, runners);
  }

  long now() {
    return now;
  }

  List<ServerEntry> entries() {
    return servers.values().stream().map(FakeModelServer::entry).toList();
  }

  FakeModelServer server(String id) {
    return servers.get(id);
  }

  void after(long millis, Runnable task) {
    tasks.add(new Timed(now + millis, taskNumber++, task));
  }

  private void every(long millis, Runnable task) {
    after(
        millis,
        () -> {
          task.run();
          every(millis, task);
        });
  }

  /** Momentary slownesses are kept apart: two in a row would be a longer one. */
  private void planMoment(FakeModelServer server) {
    long mean = Math.round(MOMENT_MILLIS * (1 - MOMENT_SHARE) / MOMENT_SHARE);
    after(
        mean / 2 + random.nextInt((int) mean),
        () -> {
          server.momentSlowness = MOMENT_SLOWNESS;
          after(
              MOMENT_MILLIS,
              () -> {
                server.momentSlowness = 1;
                planMoment(server);
              });
        });
  }

  private void orderLoads() {
    if (!versionsMatter) {
      return;
    }
    Map<String, Long> newest = new HashMap<>();
    named.forEach((model, version) -> newest.put(model, version.version()));
    Map<String, Integer> open = new HashMap<>();
    runners.forEach(runner -> open.put(runner.model, runner.openItems()));
    for (Wanted wanted : planner.begin(entries(), new WeightDemand(newest, open), now)) {
      FakeModelServer server = server(wanted.server().start().id());
      server.beginLoad(wanted.model());
      loads++;
      after(
          LOAD_MILLIS,
          () -> {
            server.endLoad(wanted.model(), wanted.version());
            planner.onDone(server.start);
          });
    }
  }

  void name(String model, long version) {
    if (versionsMatter) {
      named.put(model, new NamedVersion(version, now));
    }
  }

  long oldestVersion(long step) {
    return versionsMatter ? Math.max(1, step - 1) : 1;
  }

  /** Number of events of a text: usually few, sometimes very many. */
  int drawEvents() {
    return (int) Math.max(2, Math.min(MAX_EVENTS, 14 * Math.exp(random.nextGaussian())));
  }

  /** The caller's length hint: correct on average, often far off. */
  long drawHint(int events) {
    return Math.max(1, Math.round(10 * events * Math.exp(0.5 * random.nextGaussian())));
  }

  void send(Generation generation, String model, int afterEvent, int lastEvent) {
    sent++;
    FakeModelServer.Run run = new FakeModelServer.Run(model, afterEvent, lastEvent, generation);
    generation.runner().generations.put(generation.attempt(), run);
    after(
        ONE_WAY_MILLIS,
        () -> {
          if (run.over) {
            return;
          }
          if (!generation.server().take(run)) {
            refused++;
            after(ONE_WAY_MILLIS, () -> generation.runner().onRefused(run));
          }
        });
  }

  void onEvent(FakeModelServer.Run run) {
    after(ONE_WAY_MILLIS, () -> run.generation.runner().onEvent(run, run.event));
  }

  void onWhole(FakeModelServer.Run run) {
    after(ONE_WAY_MILLIS, () -> run.generation.runner().onWhole(run));
  }

  void onStopped(String why) {
    if (why.equals(JobScheduler.SLOW_SERVER)) {
      moved++;
    } else {
      stalled++;
    }
  }

  void onStepWhole90(long tookMillis) {
    to90.add(tookMillis);
  }

  void onStepWhole(long tookMillis) {
    to100.add(tookMillis);
  }

  /** Earliest start of the next step: at intervals, and not before its weights are named. */
  void planStep(Runner runner, long step, long readyMillis) {
    long at = Math.max(step * STEP_MILLIS - STEP_MILLIS, readyMillis + TRAINING_MILLIS);
    after(Math.max(0, at - now), () -> runner.beginStep(step));
  }
}
