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

  private ServerStats statsOf(ServerIncarnation incarnation) {
    return statsByServer.computeIfAbsent(incarnation, key -> new ServerStats());
  }

  /** Removes servers that are no longer listed, except those with requests in progress. */
  public void retain(Set<ServerIncarnation> incarnations) {
    statsByServer
        .entrySet()
        .removeIf(e -> !incarnations.contains(e.getKey()) && e.getValue().inProgress == 0);
  }

  /** Records that a request was sent to a server. */
  public void onSent(ServerIncarnation incarnation) {
    statsOf(incarnation).inProgress++;
  }

  /** Records that a request at a server ended, whatever its outcome. */
  public void onEnded(ServerIncarnation incarnation) {
    ServerStats server = statsOf(incarnation);
    server.inProgress = Math.max(0, server.inProgress - 1);
  }

  /** Records a successful response after {@code tookMillis} and ends the backoff of the server. */
  public void onSuccess(ServerIncarnation incarnation, long tookMillis, long nowMillis) {
    ServerStats server = statsOf(incarnation);
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
  public void onFailure(ServerIncarnation incarnation, long nowMillis) {
    ServerStats server = statsOf(incarnation);
    int doublings = Math.min(server.consecutiveFailures, 4);
    server.consecutiveFailures++;
    avoid(
        incarnation, Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << doublings), nowMillis);
  }

  /** Avoids a server for a time; it is still used if there is no other. */
  public void avoid(ServerIncarnation incarnation, long forMillis, long nowMillis) {
    ServerStats server = statsOf(incarnation);
    server.avoidedUntilMillis = Math.max(server.avoidedUntilMillis, nowMillis + forMillis);
  }

  /** Returns whether a server should be avoided now. */
  public boolean isAvoided(ServerIncarnation incarnation, long nowMillis) {
    ServerStats server = statsByServer.get(incarnation);
    return server != null && nowMillis < server.avoidedUntilMillis;
  }

  /** Returns all servers with recorded observations. */
  public Set<ServerIncarnation> knownServers() {
    return Set.copyOf(statsByServer.keySet());
  }

  /** Returns the number of requests of this node in progress at a server. */
  public int inProgress(ServerIncarnation incarnation) {
    ServerStats server = statsByServer.get(incarnation);
    return server == null ? 0 : server.inProgress;
  }

  /** Returns the smoothed response latency, or zero if it is unknown or stale. */
  public double latencyMillis(ServerIncarnation incarnation, long nowMillis) {
    ServerStats server = statsByServer.get(incarnation);
    boolean known =
        server != null && nowMillis - server.latencyUpdatedAtMillis <= LATENCY_EXPIRY_MILLIS;
    return known && server.latencyUpdatedAtMillis != Long.MIN_VALUE ? server.latencyMillis : 0;
  }
}
