package org.passhaven.core.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;

/**
 * Model server in virtual time with a limited number of slots and a limited queue. Refuses
 * generations when the queue is full and those of a model whose weights it loads.
 */
final class FakeModelServer {
  private static final int SLOTS = 6;
  private static final int QUEUE_CAPACITY = 18;
  private static final long EVENT_INTERVAL_MILLIS = 45;
  private static final long PREFILL_MILLIS = 30;

  /** State of one generation at the server. */
  static final class ServerGeneration {
    final String model;
    final int lastEvent;
    final PlacementSimulation.Generation generation;
    int lastSentEvent;
    boolean isStopped;

    ServerGeneration(
        String model, int afterEvent, int lastEvent, PlacementSimulation.Generation generation) {
      this.model = model;
      this.lastSentEvent = afterEvent;
      this.lastEvent = lastEvent;
      this.generation = generation;
    }
  }

  final ServerIncarnation incarnation;
  private final double slowness;
  private final PlacementSimulation simulation;
  private final List<ServerGeneration> running = new ArrayList<>();
  private final Deque<ServerGeneration> queued = new ArrayDeque<>();
  private final Map<String, Long> versions = new HashMap<>();
  double transientSlowness = 1;
  private String loadingModel = "";

  FakeModelServer(
      String name, double slowness, List<String> models, PlacementSimulation simulation) {
    this.incarnation = ServerIncarnation.of(name);
    this.slowness = slowness;
    this.simulation = simulation;
    models.forEach(model -> versions.put(model, 1L));
  }

  ServerEntry entry() {
    return new ServerEntry(incarnation, "llm", incarnation.id() + ":1", "z", SLOTS, true, versions);
  }

  long versionOf(String model) {
    return versions.get(model);
  }

  void beginLoad(String model) {
    loadingModel = model;
  }

  void endLoad(String model, long version) {
    loadingModel = "";
    versions.put(model, version);
  }

  /** Queues a generation; returns false if the server refuses it. */
  boolean accept(ServerGeneration generation) {
    if (generation.model.equals(loadingModel)
        || running.size() + queued.size() >= SLOTS + QUEUE_CAPACITY) {
      return false;
    }
    queued.add(generation);
    startQueued();
    return true;
  }

  void stop(ServerGeneration generation) {
    generation.isStopped = true;
    running.remove(generation);
    queued.remove(generation);
    startQueued();
  }

  private void startQueued() {
    while (running.size() < SLOTS && !queued.isEmpty()) {
      ServerGeneration next = queued.remove();
      running.add(next);
      simulation.schedule(PREFILL_MILLIS, () -> emitEvent(next));
    }
  }

  private void emitEvent(ServerGeneration generation) {
    if (generation.isStopped) {
      return;
    }
    generation.lastSentEvent++;
    simulation.onEvent(generation);
    if (generation.isStopped) {
      return;
    }
    if (generation.lastSentEvent >= generation.lastEvent) {
      stop(generation);
      simulation.onCompleted(generation);
    } else {
      long intervalMillis = Math.round(EVENT_INTERVAL_MILLIS * slowness * transientSlowness);
      simulation.schedule(intervalMillis, () -> emitEvent(generation));
    }
  }
}
