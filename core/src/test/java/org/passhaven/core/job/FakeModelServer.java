package org.passhaven.core.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerStart;

/**
 * A model server in virtual time: some generations run, a few wait, more are refused, and so are
 * those of a model whose weights it loads. Events come slower at a slow server and in its slow
 * moments.
 */
final class FakeModelServer {
  private static final int SLOTS = 6;
  private static final int QUEUE = 18;
  private static final long EVENT_MILLIS = 45;
  private static final long PROMPT_MILLIS = 30;

  /** One generation at the server. */
  static final class Run {
    final String model;
    final int lastEvent;
    final PlacementWorld.Generation generation;
    int event;
    boolean over;

    Run(String model, int afterEvent, int lastEvent, PlacementWorld.Generation generation) {
      this.model = model;
      this.event = afterEvent;
      this.lastEvent = lastEvent;
      this.generation = generation;
    }
  }

  final ServerStart start;
  private final double slowness;
  private final PlacementWorld world;
  private final List<Run> running = new ArrayList<>();
  private final Deque<Run> waiting = new ArrayDeque<>();
  private final Map<String, Long> versions = new HashMap<>();
  double momentSlowness = 1;
  private String loading = "";

  FakeModelServer(String name, double slowness, List<String> models, PlacementWorld world) {
    this.start = ServerStart.of(name);
    this.slowness = slowness;
    this.world = world;
    models.forEach(model -> versions.put(model, 1L));
  }

  ServerEntry entry() {
    return new ServerEntry(start, "llm", start.id() + ":1", "z", SLOTS, true, versions);
  }

  long versionOf(String model) {
    return versions.get(model);
  }

  void beginLoad(String model) {
    loading = model;
  }

  void endLoad(String model, long version) {
    loading = "";
    versions.put(model, version);
  }

  /** Takes a generation; false if it is refused. */
  boolean take(Run run) {
    if (run.model.equals(loading) || running.size() + waiting.size() >= SLOTS + QUEUE) {
      return false;
    }
    waiting.add(run);
    beginWaiting();
    return true;
  }

  void stop(Run run) {
    run.over = true;
    running.remove(run);
    waiting.remove(run);
    beginWaiting();
  }

  private void beginWaiting() {
    while (running.size() < SLOTS && !waiting.isEmpty()) {
      Run next = waiting.remove();
      running.add(next);
      world.after(PROMPT_MILLIS, () -> makeEvent(next));
    }
  }

  private void makeEvent(Run run) {
    if (run.over) {
      return;
    }
    run.event++;
    world.onEvent(run);
    if (run.over) {
      return;
    }
    if (run.event >= run.lastEvent) {
      stop(run);
      world.onWhole(run);
    } else {
      long pause = Math.round(EVENT_MILLIS * slowness * momentSlowness);
      world.after(pause, () -> makeEvent(run));
    }
  }
}
