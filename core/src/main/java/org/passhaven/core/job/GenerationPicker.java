package org.passhaven.core.job;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerHealth;
import org.passhaven.core.backend.ServerStart;

/**
 * Chooses the server of a generation: one whose weights are allowed and that has a free slot, by
 * the time that the rest of the text is expected to take there, load, weights and what it keeps of
 * the group's prompt. So long texts go to fast servers and short ones leave them room. A server
 * that refused gets one generation at a time until it takes one. Times in monotonic milliseconds.
 * Not thread-safe.
 */
final class GenerationPicker {
  private static final double AFFINITY_GAIN_MILLIS = 60;
  private static final double OTHER_ZONE_MILLIS = 15;
  private static final double OVERDUE_WEIGHTS_MILLIS = 800;

  /** What the last free slot of a server is worth to a longer text that may come. */
  private static final double FULL_MILLIS = 600;

  private static final double MIN_MOVE_RATIO = 1.15;
  private static final double MIN_MOVE_GAIN_MILLIS = 400;
  private static final int MAX_GROUPS = 4_096;
  private final String zone;
  private final ServerHealth health;
  private final ServerPace pace;
  private final LengthEstimate lengths;
  private Map<ServerStart, Double> pausesMillis = Map.of();
  private final Map<String, ServerStart> serverByGroup = new LinkedHashMap<>();

  /** Servers whose last word to a generation was that they do not take it. */
  private final Set<ServerStart> refusing = new HashSet<>();

  /** Generations sent that the server has neither begun nor refused, by server. */
  private final Map<ServerStart, Integer> unanswered = new HashMap<>();

  GenerationPicker(String zone, ServerHealth health, ServerPace pace, LengthEstimate lengths) {
    this.zone = Objects.requireNonNull(zone, "zone");
    this.health = Objects.requireNonNull(health, "health");
    this.pace = Objects.requireNonNull(pace, "pace");
    this.lengths = Objects.requireNonNull(lengths, "lengths");
  }

  /** Begins a round of decisions: how fast the servers are stays the same in it. */
  void beginRound(ReadyServers servers, long nowMillis) {
    Map<ServerStart, Double> pauses = new HashMap<>();
    for (String service : servers.services()) {
      pauses.putAll(pace.pausesMillis(servers.startsOf(service), nowMillis));
    }
    pausesMillis = pauses;
  }

  /** The server for an item; empty if none has room and may serve it. */
  Optional<ServerEntry> choose(ItemRun run, ReadyServers servers, long nowMillis) {
    return servers.of(run.job.policy.service()).stream()
        .filter(server -> mayServe(run, server, nowMillis))
        .min(
            Comparator.comparingDouble(
                    (ServerEntry server) -> cost(run, server, servers, nowMillis))
                .thenComparing(ServerEntry::start));
  }

  /** A generation of a group began at a server, which now keeps the group's prompt. */
  void onBegun(String group, ServerStart start) {
    serverByGroup.remove(group);
    serverByGroup.put(group, start);
    if (serverByGroup.size() > MAX_GROUPS) {
      serverByGroup.remove(serverByGroup.keySet().iterator().next());
    }
  }

  /** A generation was sent to a server. */
  void onSent(ServerStart start) {
    unanswered.merge(start, 1, Integer::sum);
  }

  /** A server has begun a generation. */
  void onTaken(ServerStart start) {
    onAnswered(start);
    refusing.remove(start);
  }

  /** A server does not take a generation: it is full, or loads weights. */
  void onRefused(ServerStart start) {
    refusing.add(start);
  }

  /** A generation that was sent waits for its server no longer, whatever came of it. */
  void onAnswered(ServerStart start) {
    unanswered.computeIfPresent(start, (name, count) -> count > 1 ? count - 1 : null);
  }

  /** Forgets servers that are not listed any more. */
  void retain(Set<ServerStart> starts) {
    refusing.retainAll(starts);
  }

  /** A server on which a generation would end so much sooner that it is worth to move it. */
  Optional<ServerEntry> chooseFaster(ItemRun run, ReadyServers servers, long nowMillis) {
    double here = pausesMillis.getOrDefault(run.server, 0.0);
    double remaining = remainingEvents(run);
    if (here == 0) {
      return Optional.empty();
    }
    return choose(run, servers, nowMillis)
        .filter(server -> !server.start().equals(run.server))
        .filter(server -> isSettled(run, server, servers))
        .filter(server -> here >= MIN_MOVE_RATIO * pauseMillis(server))
        .filter(server -> remaining * (here - pauseMillis(server)) >= MIN_MOVE_GAIN_MILLIS);
  }

  /** Whether a server neither loads weights, by all that is known, nor is about to. */
  private boolean isSettled(ItemRun run, ServerEntry server, ReadyServers servers) {
    return !refusing.contains(server.start())
        && !servers.lacksNewestWeights(server, run.job.job.submission().model());
  }

  private double pauseMillis(ServerEntry server) {
    return pausesMillis.getOrDefault(server.start(), 0.0);
  }

  private double remainingEvents(ItemRun run) {
    return lengths.remainingEvents(run.item.expectedTokens(), run.text.lastEvent());
  }

  private boolean mayServe(ItemRun run, ServerEntry server, long nowMillis) {
    String model = run.job.job.submission().model();
    boolean versionFits =
        model.isEmpty() || server.versionOf(model) >= run.job.job.submission().oldestVersion();
    boolean isProbed = refusing.contains(server.start()) && unanswered.containsKey(server.start());
    return versionFits
        && !isProbed
        && !health.isAvoided(server.start(), nowMillis)
        && health.inProgress(server.start()) < Math.max(1, server.slots());
  }

  /** Expected time of the rest of a text at a server, and what else speaks against it. */
  private double cost(ItemRun run, ServerEntry server, ReadyServers servers, long nowMillis) {
    ServerStart start = server.start();
    double load = health.inProgress(start) / (double) Math.max(1, server.slots());
    double cost = remainingEvents(run) * pauseMillis(server) + FULL_MILLIS * load;
    if (start.equals(serverByGroup.get(run.item.group()))) {
      cost -= AFFINITY_GAIN_MILLIS;
    }
    if (!server.zone().equals(zone)) {
      cost += OTHER_ZONE_MILLIS;
    }
    if (servers.hasOverdueWeights(server, run.job.job.submission().model(), nowMillis)) {
      cost += OVERDUE_WEIGHTS_MILLIS;
    }
    return cost;
  }
}
