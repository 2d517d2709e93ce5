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
import org.passhaven.core.order.ConcurrentLoadLimit;
import org.passhaven.core.order.WeightDemand;
import org.passhaven.core.order.WeightLoadPlanner;
import org.passhaven.core.order.WeightLoadPlanner.WeightLoad;

/**
 * Discrete-event simulation of several runs on one set of model servers, in virtual time. Each run
 * has its own scheduler. The items of a step start together, and each step announces a weight
 * version, which a few servers load at a time.
 */
final class PlacementSimulation {
  private static final long STEP_INTERVAL_MILLIS = 4_000;
  private static final long TRAINING_MILLIS = 500;
  private static final long DECISION_INTERVAL_MILLIS = 20;
  private static final long ONE_WAY_DELAY_MILLIS = 1;
  private static final long LOAD_MILLIS = 950;
  private static final long SLOWDOWN_MILLIS = 600;
  private static final double SLOWDOWN_FACTOR = 2.5;
  private static final double SLOWDOWN_TIME_SHARE = 0.15;
  private static final int MAX_EVENTS = 159;
  private static final long REPORT_INTERVAL_MILLIS = 500;

  /** Counts and mean durations of one simulation. */
  record Report(
      int sent,
      int refused,
      int loads,
      int moved,
      int stalled,
      int steps,
      double millisTo90,
      double millisTo100) {}

  /** Generation as its owner knows it. */
  record Generation(SimulatedOwner owner, long attempt, FakeModelServer modelServer) {}

  private record ScheduledTask(long atMillis, long sequence, Runnable task) {}

  private final PriorityQueue<ScheduledTask> tasks =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledTask::atMillis).thenComparing(ScheduledTask::sequence));
  private final Random random;
  private final Map<String, FakeModelServer> servers = new TreeMap<>();
  private final List<SimulatedOwner> owners = new ArrayList<>();
  private final WeightLoadPlanner planner = new WeightLoadPlanner(new ConcurrentLoadLimit(2, 0.3));
  final Map<String, AnnouncedVersion> announcedVersions = new HashMap<>();
  private final boolean loadsWeights;
  private long now;
  private long nextTaskSequence;
  private int sent;
  private int refused;
  private int loads;
  private int moved;
  private int stalled;
  private final List<Long> millisTo90Percent = new ArrayList<>();
  private final List<Long> millisTo100Percent = new ArrayList<>();

  /**
   * Creates a simulation.
   *
   * @param slowness factors of the event interval, assigned to the servers in turn
   * @param hasSlowdowns whether servers have transient slowdowns
   * @param loadsWeights whether steps announce weight versions, which servers load
   */
  PlacementSimulation(
      long seed, int serverCount, double[] slowness, boolean hasSlowdowns, boolean loadsWeights) {
    this.random = new Random(seed);
    this.loadsWeights = loadsWeights;
    List<String> models = List.of("m0", "m1", "m2");
    for (int i = 0; i < serverCount; i++) {
      String name = String.format("s%02d", i);
      servers.put(name, new FakeModelServer(name, slowness[i % slowness.length], models, this));
    }
    if (hasSlowdowns) {
      servers.values().forEach(this::scheduleSlowdown);
    }
  }

  /** Adds a run whose steps have {@code groups} groups. */
  void addRun(String model, int groups, int itemsPerGroup, int awaitedGroups) {
    owners.add(new SimulatedOwner(this, model, groups, itemsPerGroup, awaitedGroups));
  }

  /** Runs the simulation for a virtual time; steps that have not ended by then are not counted. */
  Report simulate(long millis) {
    for (SimulatedOwner owner : owners) {
      schedule(random.nextInt(300), () -> owner.startStep(1));
      scheduleRepeatedly(DECISION_INTERVAL_MILLIS, owner::decide);
      long readDelayMillis = random.nextInt(250);
      scheduleRepeatedly(REPORT_INTERVAL_MILLIS, () -> reportServerUse(owner, readDelayMillis));
    }
    scheduleRepeatedly(10, this::startLoads);
    while (!tasks.isEmpty() && tasks.peek().atMillis() <= millis) {
      ScheduledTask next = tasks.remove();
      now = next.atMillis();
      next.task().run();
    }
    return new Report(
        sent,
        refused,
        loads,
        moved,
        stalled,
        millisTo90Percent.size(),
        mean(millisTo90Percent),
        mean(millisTo100Percent));
  }

  private static double mean(List<Long> values) {
    return values.stream().mapToLong(value -> value).average().orElse(0);
  }

  private void reportServerUse(SimulatedOwner from, long readDelayMillis) {
    from.reportServerUse(readDelayMillis, owners);
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

  void schedule(long millis, Runnable task) {
    tasks.add(new ScheduledTask(now + millis, nextTaskSequence++, task));
  }

  private void scheduleRepeatedly(long millis, Runnable task) {
    schedule(
        millis,
        () -> {
          task.run();
          scheduleRepeatedly(millis, task);
        });
  }

  /** Schedules the next slowdown of a server; with a pause before it. */
  private void scheduleSlowdown(FakeModelServer server) {
    long meanPauseMillis =
        Math.round(SLOWDOWN_MILLIS * (1 - SLOWDOWN_TIME_SHARE) / SLOWDOWN_TIME_SHARE);
    schedule(
        meanPauseMillis / 2 + random.nextInt((int) meanPauseMillis),
        () -> {
          server.transientSlowness = SLOWDOWN_FACTOR;
          schedule(
              SLOWDOWN_MILLIS,
              () -> {
                server.transientSlowness = 1;
                scheduleSlowdown(server);
              });
        });
  }

  private void startLoads() {
    if (!loadsWeights) {
      return;
    }
    Map<String, Long> newest = new HashMap<>();
    announcedVersions.forEach((model, version) -> newest.put(model, version.version()));
    Map<String, Integer> openItems = new HashMap<>();
    owners.forEach(owner -> openItems.put(owner.model, owner.openItems()));
    for (WeightLoad order :
        planner.startLoads(entries(), new WeightDemand(newest, openItems), now)) {
      FakeModelServer server = server(order.server().incarnation().id());
      server.beginLoad(order.model());
      loads++;
      schedule(
          LOAD_MILLIS,
          () -> {
            server.endLoad(order.model(), order.version());
            planner.onLoaded(server.incarnation);
          });
    }
  }

  void announceVersion(String model, long version) {
    if (loadsWeights) {
      announcedVersions.put(model, new AnnouncedVersion(version, now));
    }
  }

  long oldestVersion(long step) {
    return loadsWeights ? Math.max(1, step - 1) : 1;
  }

  /** Returns the number of events of a text, from a log-normal distribution. */
  int randomEventCount() {
    return (int) Math.max(2, Math.min(MAX_EVENTS, 14 * Math.exp(random.nextGaussian())));
  }

  /** Returns an imprecise length hint for a text, in tokens. */
  long randomLengthHint(int events) {
    return Math.max(1, Math.round(10 * events * Math.exp(0.5 * random.nextGaussian())));
  }

  void send(Generation generation, String model, int afterEvent, int lastEvent) {
    sent++;
    FakeModelServer.ServerGeneration generationAtServer =
        new FakeModelServer.ServerGeneration(model, afterEvent, lastEvent, generation);
    generation.owner().generations.put(generation.attempt(), generationAtServer);
    schedule(
        ONE_WAY_DELAY_MILLIS,
        () -> {
          if (generationAtServer.isStopped) {
            return;
          }
          if (!generation.modelServer().accept(generationAtServer)) {
            refused++;
            schedule(ONE_WAY_DELAY_MILLIS, () -> generation.owner().onRefused(generationAtServer));
          }
        });
  }

  void onEvent(FakeModelServer.ServerGeneration generationAtServer) {
    schedule(
        ONE_WAY_DELAY_MILLIS,
        () ->
            generationAtServer
                .generation
                .owner()
                .onEvent(generationAtServer, generationAtServer.lastSentEvent));
  }

  void onCompleted(FakeModelServer.ServerGeneration generationAtServer) {
    schedule(
        ONE_WAY_DELAY_MILLIS,
        () -> generationAtServer.generation.owner().onCompleted(generationAtServer));
  }

  void onStopped(String why) {
    if (why.equals(JobScheduler.SLOW_SERVER)) {
      moved++;
    } else {
      stalled++;
    }
  }

  void onStep90PercentComplete(long durationMillis) {
    millisTo90Percent.add(durationMillis);
  }

  void onStepComplete(long durationMillis) {
    millisTo100Percent.add(durationMillis);
  }

  /** Schedules a step at its interval, but not before its weights are trained. */
  void scheduleStep(SimulatedOwner owner, long step, long previousStepEndMillis) {
    long startMillis =
        Math.max(
            step * STEP_INTERVAL_MILLIS - STEP_INTERVAL_MILLIS,
            previousStepEndMillis + TRAINING_MILLIS);
    schedule(Math.max(0, startMillis - now), () -> owner.startStep(step));
  }
}
