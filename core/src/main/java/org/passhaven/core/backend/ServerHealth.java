package org.passhaven.core.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * What this node has seen of servers: its own requests there, failures, and how long answers take.
 * Times in monotonic milliseconds. Not thread-safe.
 */
public final class ServerHealth {
  private static final long FIRST_AVOIDED_MILLIS = 200;
  private static final long MOST_AVOIDED_MILLIS = 3_000;
  private static final double LATENCY_WEIGHT = 0.2;
  private static final long LATENCY_TRUSTED_MILLIS = 10_000;
  private final Map<ServerStart, Seen> seen = new HashMap<>();

  private static final class Seen {
    int inProgress;
    int failuresInRow;
    long avoidUntil = Long.MIN_VALUE;
    double latencyMillis;
    long latencyAt = Long.MIN_VALUE;
  }

  private Seen of(ServerStart start) {
    return seen.computeIfAbsent(start, key -> new Seen());
  }

  /** Forgets servers that are not listed any more. */
  public void retain(Set<ServerStart> starts) {
    seen.entrySet().removeIf(e -> !starts.contains(e.getKey()) && e.getValue().inProgress == 0);
  }

  /** A request was sent to a server. */
  public void onSent(ServerStart start) {
    of(start).inProgress++;
  }

  /** A request at a server has ended, whatever its outcome. */
  public void onEnded(ServerStart start) {
    Seen server = of(start);
    server.inProgress = Math.max(0, server.inProgress - 1);
  }

  /** A server answered after {@code tookMillis}. */
  public void onSuccess(ServerStart start, long tookMillis, long nowMillis) {
    Seen server = of(start);
    server.failuresInRow = 0;
    server.avoidUntil = Long.MIN_VALUE;
    boolean stale = nowMillis - server.latencyAt > LATENCY_TRUSTED_MILLIS;
    server.latencyMillis =
        server.latencyAt == Long.MIN_VALUE || stale
            ? tookMillis
            : server.latencyMillis + LATENCY_WEIGHT * (tookMillis - server.latencyMillis);
    server.latencyAt = nowMillis;
  }

  /** A request failed on the way to a server or in it. */
  public void onFailure(ServerStart start, long nowMillis) {
    Seen server = of(start);
    int doublings = Math.min(server.failuresInRow, 4);
    server.failuresInRow++;
    avoid(start, Math.min(MOST_AVOIDED_MILLIS, FIRST_AVOIDED_MILLIS << doublings), nowMillis);
  }

  /** Leaves a server out for a time, unless there is no other. */
  public void avoid(ServerStart start, long forMillis, long nowMillis) {
    Seen server = of(start);
    server.avoidUntil = Math.max(server.avoidUntil, nowMillis + forMillis);
  }

  /** Whether a server is better left out now. */
  public boolean isAvoided(ServerStart start, long nowMillis) {
    Seen server = seen.get(start);
    return server != null && nowMillis < server.avoidUntil;
  }

  /** Servers of which something is known. */
  public Set<ServerStart> starts() {
    return Set.copyOf(seen.keySet());
  }

  /** Requests of this node at a server. */
  public int inProgress(ServerStart start) {
    Seen server = seen.get(start);
    return server == null ? 0 : server.inProgress;
  }

  /** Smoothed time of answers; zero if it is unknown or old. */
  public double latencyMillis(ServerStart start, long nowMillis) {
    Seen server = seen.get(start);
    boolean known = server != null && nowMillis - server.latencyAt <= LATENCY_TRUSTED_MILLIS;
    return known && server.latencyAt != Long.MIN_VALUE ? server.latencyMillis : 0;
  }
}
