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
  private static final double DEFAULT_INTERVAL_MILLIS = 40;

  /** Expected time for which a server stays slower than its lasting pause. */
  private static final double EXPECTED_SLOWDOWN_MILLIS = 600;

  /** A server whose lasting pause exceeds the median one by this factor is logged as slow. */
  private static final double SLOW_SERVER_RATIO = 1.4;

  private final ServerHealth health = new ServerHealth();
  private final EventIntervalTracker pace = new EventIntervalTracker();
  private final ServerUseTable peerReports = new ServerUseTable();
  private final Map<ServerStart, Intervals> intervalsByServer = new HashMap<>();
  private final Map<ServerStart, Integer> peerSlotsByServer = new HashMap<>();
  private final Set<ServerStart> slow = new HashSet<>();

  /**
   * Pauses between events in milliseconds: lasting and momentary of a server, median of its
   * service.
   */
  private record Intervals(
      double sustainedMillis, double recentMillis, double serviceMedianMillis) {}

  /** Takes in another node's report of its generations at servers. */
  public void onReport(String node, long incarnation, List<ServerUse> uses, long nowMillis) {
    peerReports.onReport(node, incarnation, uses, nowMillis);
  }

  /**
   * This node's report for other nodes: the servers with most of its generations first. The more
   * nodes report, the fewer servers each may report.
   *
   * @param maxOfAll most servers in the reports of all nodes together
   * @param max most servers in this report
   */
  public List<ServerUse> use(int maxOfAll, int max, long nowMillis) {
    long limit = Math.max(1, Math.min(max, maxOfAll / (peerReports.reportingNodes() + 1)));
    return health.starts().stream()
        .filter(start -> health.inProgress(start) > 0)
        .sorted(
            Comparator.comparingInt((ServerStart start) -> -health.inProgress(start))
                .thenComparing(Comparator.naturalOrder()))
        .limit(limit)
        .map(start -> toServerUse(start, nowMillis))
        .toList();
  }

  private ServerUse toServerUse(ServerStart start, long nowMillis) {
    int pauseMillis = (int) Math.round(pace.sustainedMillis(start, nowMillis));
    return new ServerUse(start.id(), start.bornMillis(), health.inProgress(start), pauseMillis);
  }

  /** Whether other nodes report generations at servers. */
  boolean hasPeerReports() {
    return peerReports.reportingNodes() > 0;
  }

  /** Servers whose lasting pause is much longer than the median one of their service. */
  public Set<ServerStart> slowServers() {
    return Set.copyOf(slow);
  }

  /** Begins a round of decisions, in which the pauses stay the same. */
  void beginRound(ReadyServers servers, long nowMillis) {
    pace.retain(servers.starts());
    health.retain(servers.starts());
    peerReports.forgetExpired(nowMillis);
    intervalsByServer.clear();
    peerSlotsByServer.clear();
    slow.clear();
    for (String service : servers.services()) {
      computeIntervals(servers.startsOf(service), nowMillis);
    }
  }

  private void computeIntervals(List<ServerStart> starts, long nowMillis) {
    Map<ServerStart, Double> lasting = new HashMap<>();
    for (ServerStart start : starts) {
      double own = pace.sustainedMillis(start, nowMillis);
      lasting.put(start, own > 0 ? own : peerReports.pauseMillis(start, nowMillis));
    }
    double[] known = lasting.values().stream().mapToDouble(p -> p).filter(p -> p > 0).toArray();
    Arrays.sort(known);
    double median = known.length == 0 ? DEFAULT_INTERVAL_MILLIS : known[(known.length - 1) / 2];
    for (ServerStart start : starts) {
      peerSlotsByServer.put(start, (int) Math.round(peerReports.placesTaken(start, nowMillis)));
      double reported = lasting.get(start);
      double lasts = reported > 0 ? reported : median;
      double moment = Math.max(lasts, pace.recentMillis(start, nowMillis));
      intervalsByServer.put(start, new Intervals(lasts, moment, median));
      if (lasts > SLOW_SERVER_RATIO * median) {
        slow.add(start);
      }
    }
  }

  /** The present estimate of a server, for logs. */
  public ServerEstimate estimate(ServerStart start, long nowMillis) {
    Intervals known = intervalsByServer.get(start);
    double relative = known == null ? 1 : known.sustainedMillis() / known.serviceMedianMillis();
    return new ServerEstimate(
        occupiedSlots(start), relative, peerReports.ageMillis(start, nowMillis));
  }

  /** Generations of all nodes at a server. */
  int occupiedSlots(ServerStart start) {
    return health.inProgress(start) + peerSlotsByServer.getOrDefault(start, 0);
  }

  /** Lasting pause between events at a server; zero if the server is not listed. */
  double sustainedIntervalMillis(ServerStart start) {
    Intervals known = intervalsByServer.get(start);
    return known == null ? 0 : known.sustainedMillis();
  }

  /** Expected time of some events at a server, which may be slow at present. */
  double expectedMillis(double events, ServerStart start) {
    Intervals known = intervalsByServer.get(start);
    if (known == null) {
      return 0;
    }
    double lost = EXPECTED_SLOWDOWN_MILLIS * (1 - known.sustainedMillis() / known.recentMillis());
    double mostLost = events * (known.recentMillis() - known.sustainedMillis());
    return events * known.sustainedMillis() + Math.min(lost, mostLost);
  }

  ServerHealth health() {
    return health;
  }

  EventIntervalTracker intervals() {
    return pace;
  }
}
