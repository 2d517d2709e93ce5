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
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.backend.ServerUseTable;
import org.passhaven.protocol.member.ServerUse;

/**
 * Load and speed of the model servers, observed at this node's generations and in the reports of
 * its peers. Times are in monotonic milliseconds. Not thread-safe.
 */
public final class ServerView {
  /** Assumed interval between events if no server of a service has samples. */
  private static final double DEFAULT_INTERVAL_MILLIS = 40;

  /** Expected remaining duration of a transient slowdown. */
  private static final double EXPECTED_SLOWDOWN_MILLIS = 600;

  /** Ratio to the median of its service from which on a server is reported as slow. */
  private static final double SLOW_SERVER_RATIO = 1.4;

  private final ServerHealth health = new ServerHealth();
  private final EventIntervalTracker intervalTracker = new EventIntervalTracker();
  private final ServerUseTable peerReports = new ServerUseTable();
  private final Map<ServerIncarnation, Intervals> intervalsByServer = new HashMap<>();
  private final Map<ServerIncarnation, Integer> peerSlotsInUse = new HashMap<>();
  private final Set<ServerIncarnation> slow = new HashSet<>();

  /** Sustained and recent interval between events of a server, and the median of its service. */
  private record Intervals(
      double sustainedMillis, double recentMillis, double serviceMedianMillis) {}

  /** Stores a peer's report of its generations at servers. */
  public void onReport(String node, long incarnation, List<ServerUse> report, long nowMillis) {
    peerReports.onReport(node, incarnation, report, nowMillis);
  }

  /**
   * Returns this node's report for its peers, with the servers of most generations first. The limit
   * for each node decreases with the number of reporting nodes.
   *
   * @param maxOfAll maximum number of servers in the reports of all nodes together
   * @param max maximum number of servers in this report
   */
  public List<ServerUse> createReport(int maxOfAll, int max, long nowMillis) {
    long limit = Math.max(1, Math.min(max, maxOfAll / (peerReports.reportingNodes() + 1)));
    return health.knownServers().stream()
        .filter(incarnation -> health.inProgress(incarnation) > 0)
        .sorted(
            Comparator.comparingInt(
                    (ServerIncarnation incarnation) -> -health.inProgress(incarnation))
                .thenComparing(Comparator.naturalOrder()))
        .limit(limit)
        .map(incarnation -> toServerUse(incarnation, nowMillis))
        .toList();
  }

  private ServerUse toServerUse(ServerIncarnation incarnation, long nowMillis) {
    int pauseMillis = (int) Math.round(intervalTracker.sustainedMillis(incarnation, nowMillis));
    return new ServerUse(
        incarnation.id(), incarnation.startMillis(), health.inProgress(incarnation), pauseMillis);
  }

  /** Returns whether peers report generations at servers. */
  boolean hasPeerReports() {
    return peerReports.reportingNodes() > 0;
  }

  /** Returns the servers whose sustained interval is far above the median of their service. */
  public Set<ServerIncarnation> slowServers() {
    return Set.copyOf(slow);
  }

  /** Begins a scheduling round, during which the intervals stay the same. */
  void beginRound(ReadyServers servers, long nowMillis) {
    intervalTracker.retain(servers.incarnations());
    health.retain(servers.incarnations());
    peerReports.forgetExpired(nowMillis);
    intervalsByServer.clear();
    peerSlotsInUse.clear();
    slow.clear();
    for (String service : servers.services()) {
      computeIntervals(servers.incarnationsOf(service), nowMillis);
    }
  }

  private void computeIntervals(List<ServerIncarnation> incarnations, long nowMillis) {
    Map<ServerIncarnation, Double> sustained = new HashMap<>();
    for (ServerIncarnation incarnation : incarnations) {
      double ownMillis = intervalTracker.sustainedMillis(incarnation, nowMillis);
      sustained.put(
          incarnation, ownMillis > 0 ? ownMillis : peerReports.pauseMillis(incarnation, nowMillis));
    }
    double[] known = sustained.values().stream().mapToDouble(p -> p).filter(p -> p > 0).toArray();
    Arrays.sort(known);
    double median = known.length == 0 ? DEFAULT_INTERVAL_MILLIS : known[(known.length - 1) / 2];
    for (ServerIncarnation incarnation : incarnations) {
      peerSlotsInUse.put(
          incarnation, (int) Math.round(peerReports.slotsInUse(incarnation, nowMillis)));
      double knownMillis = sustained.get(incarnation);
      double sustainedMillis = knownMillis > 0 ? knownMillis : median;
      double recentMillis =
          Math.max(sustainedMillis, intervalTracker.recentMillis(incarnation, nowMillis));
      intervalsByServer.put(incarnation, new Intervals(sustainedMillis, recentMillis, median));
      if (sustainedMillis > SLOW_SERVER_RATIO * median) {
        slow.add(incarnation);
      }
    }
  }

  /** Returns the current estimate of a server, for log lines. */
  public ServerEstimate estimate(ServerIncarnation incarnation, long nowMillis) {
    Intervals known = intervalsByServer.get(incarnation);
    double relativeInterval =
        known == null ? 1 : known.sustainedMillis() / known.serviceMedianMillis();
    return new ServerEstimate(
        slotsInUse(incarnation), relativeInterval, peerReports.ageMillis(incarnation, nowMillis));
  }

  /** Returns the number of slots that the generations of all nodes use at a server. */
  int slotsInUse(ServerIncarnation incarnation) {
    return health.inProgress(incarnation) + peerSlotsInUse.getOrDefault(incarnation, 0);
  }

  /** Returns the sustained interval between events of a server; zero if it is not listed. */
  double sustainedIntervalMillis(ServerIncarnation incarnation) {
    Intervals known = intervalsByServer.get(incarnation);
    return known == null ? 0 : known.sustainedMillis();
  }

  /** Returns the expected time of some events at a server, including a current slowdown. */
  double expectedMillis(double events, ServerIncarnation incarnation) {
    Intervals known = intervalsByServer.get(incarnation);
    if (known == null) {
      return 0;
    }
    double delayMillis =
        EXPECTED_SLOWDOWN_MILLIS * (1 - known.sustainedMillis() / known.recentMillis());
    double maxDelayMillis = events * (known.recentMillis() - known.sustainedMillis());
    return events * known.sustainedMillis() + Math.min(delayMillis, maxDelayMillis);
  }

  ServerHealth health() {
    return health;
  }

  EventIntervalTracker intervalTracker() {
    return intervalTracker;
  }
}
