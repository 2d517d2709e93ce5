package org.passhaven.core.job;

import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.passhaven.core.backend.ServerEstimate;
import org.passhaven.core.backend.ServerHealth;
import org.passhaven.core.backend.ServerStart;
import org.passhaven.core.backend.ServerUseTable;
import org.passhaven.protocol.member.ServerUse;

/**
 * Load and speed of the servers that generate, from the generations of this node and from the
 * reports of other nodes that run jobs. Times in monotonic milliseconds. Not thread-safe.
 */
public final class ServerView {
  /** Assumed pause between events while nothing is known of any server of a service. */
  private static final double UNKNOWN_PAUSE_MILLIS = 40;

  /** Expected time for which a server stays slower than its lasting pause. */
  private static final double MOMENT_MILLIS = 600;

  /** A server whose lasting pause exceeds the median one by this factor is logged as slow. */
  private static final double SLOW_RATIO = 1.4;

  private final ServerHealth health = new ServerHealth();
  private final ServerPace pace = new ServerPace();
  private final ServerUseTable others = new ServerUseTable();
  private final Map<ServerStart, Pauses> pauses = new HashMap<>();
  private final Map<ServerStart, Integer> othersPlaces = new HashMap<>();
  private final Set<ServerStart> slow = new HashSet<>();

  /**
   * Pauses between events in milliseconds: lasting and momentary of a server, median of its
   * service.
   */
  private record Pauses(double lastingMillis, double momentMillis, double medianMillis) {}

  /** Takes in another node's report of its generations at servers. */
  public void onReport(String node, long incarnation, List<ServerUse> uses, long nowMillis) {
    others.onReport(node, incarnation, uses, nowMillis);
  }

  /**
   * This node's report for other nodes: the servers with most of its generations first. The more
   * nodes report, the fewer servers each may report.
   *
   * @param maxOfAll most servers in the reports of all nodes together
   * @param max most servers in this report
   */
  public List<ServerUse> use(int maxOfAll, int max, long nowMillis) {
    long limit = Math.max(1, Math.min(max, maxOfAll / (others.reportingNodes() + 1)));
    return health.starts().stream()
        .filter(start -> health.inProgress(start) > 0)
        .sorted(
            Comparator.comparingInt((ServerStart start) -> -health.inProgress(start))
                .thenComparing(Comparator.naturalOrder()))
        .limit(limit)
        .map(start -> useOf(start, nowMillis))
        .toList();
  }

  private ServerUse useOf(ServerStart start, long nowMillis) {
    int pauseMillis = (int) Math.round(pace.lastingMillis(start, nowMillis));
    return new ServerUse(start.id(), start.bornMillis(), health.inProgress(start), pauseMillis);
  }

  /** Whether other nodes report generations at servers. */
  boolean isShared() {
    return others.reportingNodes() > 0;
  }

  /** Servers whose lasting pause is much longer than the median one of their service. */
  public Set<ServerStart> slowServers() {
    return Set.copyOf(slow);
  }

  /** Begins a round of decisions, in which the pauses stay the same. */
  void beginRound(ReadyServers servers, long nowMillis) {
    pace.retain(servers.starts());
    health.retain(servers.starts());
    others.forgetExpired(nowMillis);
    pauses.clear();
    othersPlaces.clear();
    slow.clear();
    for (String service : servers.services()) {
      computePauses(servers.startsOf(service), nowMillis);
    }
  }

  private void computePauses(List<ServerStart> starts, long nowMillis) {
    Map<ServerStart, Double> lasting = new HashMap<>();
    for (ServerStart start : starts) {
      double own = pace.lastingMillis(start, nowMillis);
      lasting.put(start, own > 0 ? own : others.pauseMillis(start, nowMillis));
    }
    double[] known = lasting.values().stream().mapToDouble(p -> p).filter(p -> p > 0).toArray();
    Arrays.sort(known);
    double median = known.length == 0 ? UNKNOWN_PAUSE_MILLIS : known[(known.length - 1) / 2];
    for (ServerStart start : starts) {
      othersPlaces.put(start, (int) Math.round(others.placesTaken(start, nowMillis)));
      double reported = lasting.get(start);
      double lasts = reported > 0 ? reported : median;
      double moment = Math.max(lasts, pace.momentMillis(start, nowMillis));
      pauses.put(start, new Pauses(lasts, moment, median));
      if (lasts > SLOW_RATIO * median) {
        slow.add(start);
      }
    }
  }

  /** The present estimate of a server, for logs. */
  public ServerEstimate estimate(ServerStart start, long nowMillis) {
    Pauses known = pauses.get(start);
    double relative = known == null ? 1 : known.lastingMillis() / known.medianMillis();
    return new ServerEstimate(placesTaken(start), relative, others.ageMillis(start, nowMillis));
  }

  /** Generations of all nodes at a server. */
  int placesTaken(ServerStart start) {
    return health.inProgress(start) + othersPlaces.getOrDefault(start, 0);
  }

  /** Lasting pause between events at a server; zero if the server is not listed. */
  double lastingPauseMillis(ServerStart start) {
    Pauses known = pauses.get(start);
    return known == null ? 0 : known.lastingMillis();
  }

  /** Expected time of some events at a server, which may be slow at present. */
  double millisFor(double events, ServerStart start) {
    Pauses known = pauses.get(start);
    if (known == null) {
      return 0;
    }
    double lost = MOMENT_MILLIS * (1 - known.lastingMillis() / known.momentMillis());
    double mostLost = events * (known.momentMillis() - known.lastingMillis());
    return events * known.lastingMillis() + Math.min(lost, mostLost);
  }

  ServerHealth health() {
    return health;
  }

  ServerPace pace() {
    return pace;
  }
}
