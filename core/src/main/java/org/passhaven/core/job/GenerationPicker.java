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

/**
 * Chooses the server of a generation: one whose weights are allowed and that has a free slot, by
 * pace, load, weights and what it keeps of the group's prompt. A server that refused gets one
 * generation at a time until it takes one. Times in monotonic milliseconds. Not thread-safe.
 */
final class GenerationPicker {
  private static final double AFFINITY_GAIN = 0.3;
  private static final double OTHER_ZONE_COST = 0.05;
  private static final double OVERDUE_WEIGHTS_COST = 0.6;
  private static final double SLOW_RATIO = 1.8;
  private static final int MAX_GROUPS = 4_096;
  private final String zone;
  private final ServerHealth health;
  private final ServerPace pace;
  private final Map<String, String> serverByGroup = new LinkedHashMap<>();

  /** Servers whose last word to a generation was that they do not take it. */
  private final Set<String> refusing = new HashSet<>();

  /** Generations sent that the server has neither begun nor refused, by server. */
  private final Map<String, Integer> unanswered = new HashMap<>();

  GenerationPicker(String zone, ServerHealth health, ServerPace pace) {
    this.zone = Objects.requireNonNull(zone, "zone");
    this.health = Objects.requireNonNull(health, "health");
    this.pace = Objects.requireNonNull(pace, "pace");
  }

  /** The server for an item; empty if none has room and may serve it. */
  Optional<ServerEntry> choose(ItemRun run, ReadyServers servers, long nowMillis) {
    return servers.of(run.job.policy.service()).stream()
        .filter(server -> mayServe(run, server, nowMillis))
        .min(
            Comparator.comparingDouble(
                    (ServerEntry server) -> cost(run, server, servers, nowMillis))
                .thenComparing(ServerEntry::instance));
  }

  /** A generation of a group began at a server, which now keeps the group's prompt. */
  void onBegun(String group, String instance) {
    serverByGroup.remove(group);
    serverByGroup.put(group, instance);
    if (serverByGroup.size() > MAX_GROUPS) {
      serverByGroup.remove(serverByGroup.keySet().iterator().next());
    }
  }

  /** A generation was sent to a server. */
  void onSent(String instance) {
    unanswered.merge(instance, 1, Integer::sum);
  }

  /** A server has begun a generation. */
  void onTaken(String instance) {
    onAnswered(instance);
    refusing.remove(instance);
  }

  /** A server does not take a generation: it is full, or loads weights. */
  void onRefused(String instance) {
    refusing.add(instance);
  }

  /** A generation that was sent waits for its server no longer, whatever came of it. */
  void onAnswered(String instance) {
    unanswered.computeIfPresent(instance, (name, count) -> count > 1 ? count - 1 : null);
  }

  /** Forgets servers that are not listed any more. */
  void retain(Set<String> instances) {
    refusing.retainAll(instances);
  }

  /** Whether a server generates much slower than the middle one of its service. */
  boolean isSlow(String instance, ReadyServers servers, long nowMillis) {
    ServerEntry entry = servers.get(instance);
    return entry != null
        && pace.ratio(instance, servers.instancesOf(entry.service()), nowMillis) >= SLOW_RATIO;
  }

  private boolean mayServe(ItemRun run, ServerEntry server, long nowMillis) {
    String model = run.job.job.submission().model();
    boolean versionFits =
        model.isEmpty() || server.versionOf(model) >= run.job.job.submission().oldestVersion();
    boolean isProbed =
        refusing.contains(server.instance()) && unanswered.containsKey(server.instance());
    return versionFits
        && !isProbed
        && !health.isAvoided(server.instance(), nowMillis)
        && health.inProgress(server.instance()) < Math.max(1, server.slots());
  }

  private double cost(ItemRun run, ServerEntry server, ReadyServers servers, long nowMillis) {
    String instance = server.instance();
    double load = health.inProgress(instance) / (double) Math.max(1, server.slots());
    double ratio = pace.ratio(instance, servers.instancesOf(server.service()), nowMillis);
    double cost = ratio * (1 + load);
    if (instance.equals(serverByGroup.get(run.item.group()))) {
      cost -= AFFINITY_GAIN;
    }
    if (!server.zone().equals(zone)) {
      cost += OTHER_ZONE_COST;
    }
    if (servers.hasOverdueWeights(server, run.job.job.submission().model(), nowMillis)) {
      cost += OVERDUE_WEIGHTS_COST;
    }
    return cost;
  }
}
