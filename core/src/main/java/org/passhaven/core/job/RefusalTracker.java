package org.passhaven.core.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;

/**
 * Tracks which servers refuse generations of a model, and limits what is sent to them. A refusing
 * server is retried after a backoff. A server that is likely to refuse, because it is about to load
 * weights or has just started, gets a single generation first and more with each one it accepts
 * (slow start). Times are in monotonic milliseconds. Not thread-safe.
 */
final class RefusalTracker {
  /** Backoff after a refusal by a full server. */
  private static final long FULL_BACKOFF_MILLIS = 80;

  /**
   * Maximum of the exponential backoff for a server that loads weights. The server is asked again
   * before it is known to have loaded them, since that news may arrive late.
   */
  private static final long MAX_LOADING_BACKOFF_MILLIS = 320;

  /** Expected time from the announcement of a version until a server has loaded it. */
  private static final long EXPECTED_LOAD_MILLIS = 1_000;

  private final Map<Key, Backoff> backoffs = new HashMap<>();

  /** Number of generations sent that the server has neither accepted nor refused. */
  private final Map<Key, Integer> pending = new HashMap<>();

  /** Generations accepted since the last refusal. */
  private final Map<Key, AcceptedCount> accepted = new HashMap<>();

  /** Servers that appeared recently and have not accepted a generation of this node. */
  private final Set<ServerIncarnation> newServers = new HashSet<>();

  private Set<ServerIncarnation> knownServers = Set.of();

  /** Key of a model at one incarnation of a server. */
  private record Key(ServerIncarnation incarnation, String model) {}

  /** Number of generations accepted while a version was the newest one. */
  private record AcceptedCount(long newestVersion, int generations) {}

  /**
   * Backoff after a refusal: the version that the server held then, the length of the backoff and
   * its end.
   */
  private record Backoff(long heldVersion, long delayMillis, long untilMillis) {}

  /** Removes servers that are no longer listed and marks added ones as new. */
  void retain(Set<ServerIncarnation> incarnations) {
    if (knownServers.equals(incarnations)) {
      return;
    }
    if (!knownServers.isEmpty()) {
      incarnations.stream()
          .filter(incarnation -> !knownServers.contains(incarnation))
          .forEach(newServers::add);
    }
    knownServers = Set.copyOf(incarnations);
    newServers.retainAll(incarnations);
    backoffs.keySet().removeIf(key -> !incarnations.contains(key.incarnation()));
    pending.keySet().removeIf(key -> !incarnations.contains(key.incarnation()));
    accepted.keySet().removeIf(key -> !incarnations.contains(key.incarnation()));
  }

  /** Counts a generation that was sent to a server as pending. */
  void onSent(ServerIncarnation incarnation, String model) {
    pending.merge(new Key(incarnation, model), 1, Integer::sum);
  }

  /** Stops counting a generation as pending: it was accepted, refused or has failed. */
  void removePending(ServerIncarnation incarnation, String model) {
    pending.computeIfPresent(
        new Key(incarnation, model), (key, count) -> count > 1 ? count - 1 : null);
  }

  /**
   * Handles a generation that a server accepted.
   *
   * @param newest newest weight version of the model
   */
  void onAccepted(ServerIncarnation incarnation, String model, long newest) {
    Key key = new Key(incarnation, model);
    removePending(incarnation, model);
    backoffs.remove(key);
    newServers.remove(incarnation);
    accepted.put(key, new AcceptedCount(newest, acceptedCount(key, newest) + 1));
  }

  private int acceptedCount(Key key, long newest) {
    AcceptedCount before = accepted.get(key);
    return before == null || before.newestVersion() != newest ? 0 : before.generations();
  }

  /**
   * Starts or extends the backoff of a server that refused a generation.
   *
   * @param heldVersion version of the model that the server is known to hold
   * @param newest newest weight version of the model, if the server does not hold it
   */
  void onRefused(
      ServerIncarnation incarnation,
      String model,
      long heldVersion,
      Optional<AnnouncedVersion> newest,
      long nowMillis) {
    Key key = new Key(incarnation, model);
    accepted.remove(key);
    Backoff last = backoffs.get(key);
    boolean isRepeated = last != null && last.heldVersion() == heldVersion;
    if (isRepeated && nowMillis < last.untilMillis()) {
      // The generation was sent before the first refusal arrived.
      return;
    }
    long delayMillis = FULL_BACKOFF_MILLIS;
    if (isRepeated && newest.isPresent()) {
      delayMillis = Math.min(MAX_LOADING_BACKOFF_MILLIS, 2 * last.delayMillis());
    }
    long loadedAtMillis =
        newest.map(version -> version.announcedAtMillis() + EXPECTED_LOAD_MILLIS).orElse(nowMillis);
    long untilMillis = Math.max(nowMillis + delayMillis, loadedAtMillis);
    backoffs.put(key, new Backoff(heldVersion, delayMillis, untilMillis));
  }

  /**
   * Returns whether a server refused the last generation of a model that it answered, and has not
   * changed its weight version since.
   */
  boolean isRefusing(ServerEntry server, String model) {
    Backoff last = backoffs.get(new Key(server.incarnation(), model));
    return last != null && last.heldVersion() == server.versionOf(model);
  }

  /**
   * Returns whether a generation of a model may be sent to a server now. While refusals are likely,
   * each accepted generation raises the allowed number of pending ones by one.
   *
   * @param newest newest weight version of the model, if the server is about to load it
   */
  boolean maySend(
      ServerEntry server, String model, Optional<AnnouncedVersion> newest, long nowMillis) {
    Key key = new Key(server.incarnation(), model);
    boolean isRefusing = isRefusing(server, model);
    if (isRefusing && nowMillis < backoffs.get(key).untilMillis()) {
      return false;
    }
    int pendingCount = pending.getOrDefault(key, 0);
    if (isRefusing || newServers.contains(server.incarnation())) {
      return pendingCount == 0;
    }
    return newest.isEmpty() || pendingCount <= acceptedCount(key, newest.get().version());
  }
}
