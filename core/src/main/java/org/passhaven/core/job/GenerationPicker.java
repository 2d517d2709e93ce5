package org.passhaven.core.job;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerStart;
import org.passhaven.core.placement.Rendezvous;

/**
 * Chooses the server of a generation: one whose weights are allowed and that has a free slot, by
 * the time that the rest of the text is expected to take there, what all nodes have there, weights
 * and what it keeps of the group's prompt. So long texts go to fast servers and short ones leave
 * them room. Servers that may refuse get one generation first, and more as they take them. Times in
 * monotonic milliseconds. Not thread-safe.
 */
final class GenerationPicker {
  private static final double AFFINITY_GAIN_MILLIS = 60;
  private static final double OTHER_ZONE_COST_MILLIS = 15;
  private static final double OVERDUE_WEIGHTS_COST_MILLIS = 800;

  /** What the last free slot of a server is worth to a longer text that may come. */
  private static final double FULL_SERVER_COST_MILLIS = 600;

  /** Expected wait for a slot of a full server, for each generation that waits there. */
  private static final double QUEUED_GENERATION_COST_MILLIS = 200;

  /**
   * Smallest ratio of two servers' lasting pauses for a move. Servers of one service differ by a
   * quarter for good; a step's longest texts are late if they stay at the slow ones.
   */
  private static final double MIN_MOVE_RATIO = 1.15;

  /** Smallest expected gain of a move, which costs a connection, a slot and a second prefill. */
  private static final double MIN_MOVE_GAIN_MILLIS = 400;

  private static final int MAX_GROUPS = 4_096;
  private final String node;
  private final String zone;
  private final ServerView view;
  private final LengthEstimator lengths;
  private final RefusalTracker refusals = new RefusalTracker();
  private final Map<String, ServerStart> serverByGroup = new LinkedHashMap<>();
  private ReadyServers servers = new ReadyServers(Set.of(), Map.of());

  GenerationPicker(String node, String zone, ServerView view, LengthEstimator lengths) {
    this.node = Objects.requireNonNull(node, "node");
    this.zone = Objects.requireNonNull(zone, "zone");
    this.view = Objects.requireNonNull(view, "view");
    this.lengths = Objects.requireNonNull(lengths, "lengths");
  }

  /** Begins a round of decisions: the servers and how fast they are stay the same in it. */
  void beginRound(ReadyServers nowReady, long nowMillis) {
    servers = nowReady;
    refusals.retain(nowReady.starts());
    view.beginRound(nowReady, nowMillis);
  }

  /** The server for an item; empty if none has room and may serve it. */
  Optional<ServerEntry> choose(ItemExecution run, long nowMillis) {
    return servers.of(run.jobExecution.policy.service()).stream()
        .filter(server -> canServe(run, server, nowMillis))
        .min(
            Comparator.comparingDouble((ServerEntry server) -> cost(run, server, nowMillis))
                .thenComparingLong(this::tieBreak)
                .thenComparing(ServerEntry::start));
  }

  /** Differs by node, so that nodes that see the same free servers choose different ones. */
  private long tieBreak(ServerEntry server) {
    return view.hasPeerReports() ? Rendezvous.weight(node, server.start().id()) : 0;
  }

  /** A generation of a group began at a server, which now keeps the group's prompt. */
  void rememberServerOfGroup(String group, ServerStart start) {
    serverByGroup.remove(group);
    serverByGroup.put(group, start);
    if (serverByGroup.size() > MAX_GROUPS) {
      serverByGroup.remove(serverByGroup.keySet().iterator().next());
    }
  }

  /** A generation was sent to its server. */
  void onSent(ItemExecution run) {
    refusals.onSent(run.server, modelOf(run));
  }

  /** The server of a generation has begun it. */
  void onAccepted(ItemExecution run) {
    refusals.onAccepted(run.server, modelOf(run), servers.newestVersionOf(modelOf(run)));
  }

  /** The server of a generation refused it: it is full, or loads weights. */
  void onRefused(ItemExecution run, long nowMillis) {
    String model = modelOf(run);
    ServerEntry server = servers.get(run.server);
    if (server != null) {
      refusals.onRefused(
          run.server,
          model,
          server.versionOf(model),
          servers.missingVersion(server, model),
          nowMillis);
    }
  }

  /** A generation that was sent waits for its server no longer, whatever came of it. */
  void removePending(ItemExecution run) {
    refusals.removePending(run.server, modelOf(run));
  }

  /** A server on which a generation would end so much sooner that it is worth to move it. */
  Optional<ServerEntry> chooseFaster(ItemExecution run, long nowMillis) {
    double here = view.sustainedIntervalMillis(run.server);
    double remaining = remainingEvents(run);
    if (here == 0) {
      return Optional.empty();
    }
    return choose(run, nowMillis)
        .filter(server -> !server.start().equals(run.server))
        .filter(server -> isNotLoading(run, server))
        .filter(server -> here >= MIN_MOVE_RATIO * view.sustainedIntervalMillis(server.start()))
        .filter(
            server ->
                remaining * (here - view.sustainedIntervalMillis(server.start()))
                    >= MIN_MOVE_GAIN_MILLIS);
  }

  /** Whether a server neither loads weights, by all that is known, nor is about to. */
  private boolean isNotLoading(ItemExecution run, ServerEntry server) {
    return !refusals.isRefusing(server, modelOf(run))
        && !servers.lacksNewestWeights(server, modelOf(run));
  }

  private static String modelOf(ItemExecution run) {
    return run.jobExecution.job.submission().model();
  }

  private double remainingEvents(ItemExecution run) {
    return lengths.remainingEvents(run.item.expectedTokens(), run.text.lastEvent());
  }

  private boolean canServe(ItemExecution run, ServerEntry server, long nowMillis) {
    String model = modelOf(run);
    boolean versionFits =
        model.isEmpty()
            || server.versionOf(model) >= run.jobExecution.job.submission().oldestVersion();
    return versionFits
        && refusals.maySend(
            server, model, servers.versionToLoad(server, model, nowMillis), nowMillis)
        && !view.health().isAvoided(server.start(), nowMillis)
        && view.health().inProgress(server.start()) < Math.max(1, server.slots());
  }

  /** Expected time of the rest of a text at a server, and what else speaks against it. */
  private double cost(ItemExecution run, ServerEntry server, long nowMillis) {
    ServerStart start = server.start();
    double cost = view.expectedMillis(remainingEvents(run), start) + loadCost(server);
    if (start.equals(serverByGroup.get(run.item.group()))) {
      cost -= AFFINITY_GAIN_MILLIS;
    }
    if (!server.zone().equals(zone)) {
      cost += OTHER_ZONE_COST_MILLIS;
    }
    if (servers.hasOverdueWeights(server, modelOf(run), nowMillis)) {
      cost += OVERDUE_WEIGHTS_COST_MILLIS;
    }
    return cost;
  }

  /**
   * Cost of a server's load by all nodes' generations: grows with its use, and more beyond its
   * slots.
   */
  private double loadCost(ServerEntry server) {
    int slots = Math.max(1, server.slots());
    int taken = view.occupiedSlots(server.start());
    int queued = Math.max(0, taken + 1 - slots);
    return FULL_SERVER_COST_MILLIS * Math.min(slots, taken) / slots
        + QUEUED_GENERATION_COST_MILLIS * queued;
  }
}
