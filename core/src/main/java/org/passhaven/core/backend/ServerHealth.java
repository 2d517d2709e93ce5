package org.passhaven.core.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the requests in progress, failures and response latency of each server, as observed by
 * this node. Times are in monotonic milliseconds. Not thread-safe.
 */
public final class ServerHealth {
  private static final long INITIAL_BACKOFF_MILLIS = 200;
  private static final long MAX_BACKOFF_MILLIS = 3_000;
  private static final double LATENCY_SMOOTHING_FACTOR = 0.2;
  private static final long LATENCY_EXPIRY_MILLIS = 10_000;
  private final Map<ServerIncarnation, ServerStats> statsByServer = new HashMap<>();

  private static final class ServerStats {
    int inProgress;
    int consecutiveFailures;
    long avoidedUntilMillis = Long.MIN_VALUE;
    double latencyMillis;
    long latencyUpdatedAtMillis = Long.MIN_VALUE;
  }

  private ServerStats statsOf(ServerIncarnation start) {
    return statsByServer.computeIfAbsent(start, key -> new ServerStats());
  }

  /** Removes servers that are no longer listed, except those with requests in progress. */
  public void retain(Set<ServerIncarnation> starts) {
    statsByServer
        .entrySet()
        .removeIf(e -> !starts.contains(e.getKey()) && e.getValue().inProgress == 0);
  }

  /** Records that a request was sent to a server. */
  public void onSent(ServerIncarnation start) {
    statsOf(start).inProgress++;
  }

  /** Records that a request at a server ended, whatever its outcome. */
  public void onEnded(ServerIncarnation start) {
    ServerStats server = statsOf(start);
    server.inProgress = Math.max(0, server.inProgress - 1);
  }

  /** Records a successful response after {@code tookMillis} and ends the backoff of the server. */
  public void onSuccess(ServerIncarnation start, long tookMillis, long nowMillis) {
    ServerStats server = statsOf(start);
    server.consecutiveFailures = 0;
    server.avoidedUntilMillis = Long.MIN_VALUE;
    boolean stale = nowMillis - server.latencyUpdatedAtMillis > LATENCY_EXPIRY_MILLIS;
    server.latencyMillis =
        server.latencyUpdatedAtMillis == Long.MIN_VALUE || stale
            ? tookMillis
            : server.latencyMillis + LATENCY_SMOOTHING_FACTOR * (tookMillis - server.latencyMillis);
    server.latencyUpdatedAtMillis = nowMillis;
  }

  /** Records a failed request and avoids the server with exponential backoff. */
  public void onFailure(ServerIncarnation start, long nowMillis) {
    ServerStats server = statsOf(start);
    int doublings = Math.min(server.consecutiveFailures, 4);
    server.consecutiveFailures++;
    avoid(start, Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << doublings), nowMillis);
  }

  /** Avoids a server for a time; it is still used if there is no other. */
  public void avoid(ServerIncarnation start, long forMillis, long nowMillis) {
    ServerStats server = statsOf(start);
    server.avoidedUntilMillis = Math.max(server.avoidedUntilMillis, nowMillis + forMillis);
  }

  /** Returns whether a server should be avoided now. */
  public boolean isAvoided(ServerIncarnation start, long nowMillis) {
    ServerStats server = statsByServer.get(start);
    return server != null && nowMillis < server.avoidedUntilMillis;
  }

  /** Returns all servers with recorded observations. */
  public Set<ServerIncarnation> knownServers() {
    return Set.copyOf(statsByServer.keySet());
  }

  /** Returns the number of requests of this node in progress at a server. */
  public int inProgress(ServerIncarnation start) {
    ServerStats server = statsByServer.get(start);
    return server == null ? 0 : server.inProgress;
  }

  /** Returns the smoothed response latency, or zero if it is unknown or stale. */
  public double latencyMillis(ServerIncarnation start, long nowMillis) {
    ServerStats server = statsByServer.get(start);
    boolean known =
        server != null && nowMillis - server.latencyUpdatedAtMillis <= LATENCY_EXPIRY_MILLIS;
    return known && server.latencyUpdatedAtMillis != Long.MIN_VALUE ? server.latencyMillis : 0;
  }
}
