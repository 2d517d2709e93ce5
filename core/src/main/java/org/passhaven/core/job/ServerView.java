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
 * What the node that runs jobs knows of the servers that generate: from its own generations, and
 * from what other nodes that run jobs told. Times in monotonic milliseconds. Not thread-safe.
 */
public final class ServerView {
  private static final double UNKNOWN_PAUSE_MILLIS = 40;

  /** How long a server that is slower than its lasting pause is expected to stay so. */
  private static final double MOMENT_MILLIS = 600;

  /** A server that takes so much longer than the middle one is named slow in the log. */
  private static final double SLOW_RATIO = 1.4;

  private final ServerHealth health = new ServerHealth();
  private final ServerPace pace = new ServerPace();
  private final ServerUseTable others = new ServerUseTable();
  private final Map<ServerStart, Pauses> pauses = new HashMap<>();
  private final Map<ServerStart, Integer> othersPlaces = new HashMap<>();
  private final Set<ServerStart> slow = new HashSet<>();

  /** Pauses between events: the one that lasts, that of the moment, and the middle server's. */
  private record Pauses(double lasting, double moment, double middle) {}

  /** Another node told what it does at servers. */
  public void onTold(String node, long incarnation, List<ServerUse> uses, long nowMillis) {
    others.onTold(node, incarnation, uses, nowMillis);
  }

  /**
   * What this node does at servers, for other nodes: the servers with most of its generations
   * first. Each node may tell of fewer, the more nodes tell.
   *
   * @param maxOfAll servers that all nodes together may tell of
   * @param max servers that this one may tell of
   */
  public List<ServerUse> use(int maxOfAll, int max, long nowMillis) {
    long limit = Math.max(1, Math.min(max, maxOfAll / (others.tellers() + 1)));
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

  /** Whether other nodes generate at the servers too. */
  boolean isShared() {
    return others.tellers() > 0;
  }

  /** Servers whose events lately took much longer than at the middle one of their service. */
  public Set<ServerStart> slowServers() {
    return Set.copyOf(slow);
  }

  /** Begins a round of decisions: how fast the servers are stays the same in it. */
  void beginRound(ReadyServers servers, long nowMillis) {
    pace.retain(servers.starts());
    health.retain(servers.starts());
    others.forgetOld(nowMillis);
    pauses.clear();
    othersPlaces.clear();
    slow.clear();
    for (String service : servers.services()) {
      findPauses(servers.startsOf(service), nowMillis);
    }
  }

  private void findPauses(List<ServerStart> starts, long nowMillis) {
    Map<ServerStart, Double> lasting = new HashMap<>();
    for (ServerStart start : starts) {
      double own = pace.lastingMillis(start, nowMillis);
      lasting.put(start, own > 0 ? own : others.pauseMillis(start, nowMillis));
    }
    double[] known = lasting.values().stream().mapToDouble(p -> p).filter(p -> p > 0).toArray();
    Arrays.sort(known);
    double middle = known.length == 0 ? UNKNOWN_PAUSE_MILLIS : known[(known.length - 1) / 2];
    for (ServerStart start : starts) {
      othersPlaces.put(start, (int) Math.round(others.placesTaken(start, nowMillis)));
      double told = lasting.get(start);
      double lasts = told > 0 ? told : middle;
      double moment = Math.max(lasts, pace.momentMillis(start, nowMillis));
      pauses.put(start, new Pauses(lasts, moment, middle));
      if (lasts > SLOW_RATIO * middle) {
        slow.add(start);
      }
    }
  }

  /** What all nodes together are known to do at a server, and how fast it is. */
  public ServerEstimate estimate(ServerStart start, long nowMillis) {
    Pauses known = pauses.get(start);
    double relative = known == null ? 1 : known.lasting() / known.middle();
    return new ServerEstimate(placesTaken(start), relative, others.ageMillis(start, nowMillis));
  }

  /** Generations of all nodes at a server. */
  int placesTaken(ServerStart start) {
    return health.inProgress(start) + othersPlaces.getOrDefault(start, 0);
  }

  /** Pause between events at a server that lasts; zero if the server is not listed. */
  double lastingPauseMillis(ServerStart start) {
    Pauses known = pauses.get(start);
    return known == null ? 0 : known.lasting();
  }

  /** Expected time of some events at a server that may be slow for a moment. */
  double millisFor(double events, ServerStart start) {
    Pauses known = pauses.get(start);
    if (known == null) {
      return 0;
    }
    double lost = MOMENT_MILLIS * (1 - known.lasting() / known.moment());
    double mostLost = events * (known.moment() - known.lasting());
    return events * known.lasting() + Math.min(lost, mostLost);
  }

  ServerHealth health() {
    return health;
  }

  ServerPace pace() {
    return pace;
  }
}
