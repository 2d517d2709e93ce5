package org.passhaven.core.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerStart;

/**
 * Which servers refuse generations of a model now, by their answers. A server that loads weights of
 * a model refuses that model until it has them. A server that may refuse, since it is about to load
 * or has just started, gets one generation first and more as it takes them, rather than a burst.
 * Times in monotonic milliseconds. Not thread-safe.
 */
final class RefusalTracker {
  /** Pause after the refusal of a full server, which has room when one of its generations ends. */
  private static final long FULL_BACKOFF_MILLIS = 80;

  /**
   * Longest pause after refusals of a loading server, doubled at each one. It is asked again since
   * the news that it has loaded may be late.
   */
  private static final long MAX_LOADING_BACKOFF_MILLIS = 320;

  /** Time from the announcement of a version until a server that loads it at once holds it. */
  private static final long EXPECTED_LOAD_MILLIS = 1_000;

  private final Map<Key, Backoff> backoffs = new HashMap<>();

  /** Generations sent that the server has neither begun nor refused. */
  private final Map<Key, Integer> pending = new HashMap<>();

  /** Generations that a server has taken since it last refused one, under one newest version. */
  private final Map<Key, AcceptedCount> accepted = new HashMap<>();

  /** Servers that started while this node ran jobs and have taken nothing from it yet. */
  private final Set<ServerStart> newServers = new HashSet<>();

  private Set<ServerStart> knownServers = Set.of();

  /** One model at one start of a server. */
  private record Key(ServerStart start, String model) {}

  /** Generations taken while a version was the newest one. */
  private record AcceptedCount(long newestVersion, int generations) {}

  /** The last refusal: the version held then, and when the server may be asked again. */
  private record Backoff(long heldVersion, long delayMillis, long untilMillis) {}

  /** Forgets servers that are not listed any more, and notes those that are new. */
  void retain(Set<ServerStart> starts) {
    if (knownServers.equals(starts)) {
      return;
    }
    if (!knownServers.isEmpty()) {
      starts.stream().filter(start -> !knownServers.contains(start)).forEach(newServers::add);
    }
    knownServers = Set.copyOf(starts);
    newServers.retainAll(starts);
    backoffs.keySet().removeIf(key -> !starts.contains(key.start()));
    pending.keySet().removeIf(key -> !starts.contains(key.start()));
    accepted.keySet().removeIf(key -> !starts.contains(key.start()));
  }

  /** A generation was sent to a server. */
  void onSent(ServerStart start, String model) {
    pending.merge(new Key(start, model), 1, Integer::sum);
  }

  /** A generation that was sent was begun, refused or has failed. */
  void removePending(ServerStart start, String model) {
    pending.computeIfPresent(new Key(start, model), (key, count) -> count > 1 ? count - 1 : null);
  }

  /**
   * A server has begun a generation.
   *
   * @param newest newest weight version of the model
   */
  void onAccepted(ServerStart start, String model, long newest) {
    Key key = new Key(start, model);
    removePending(start, model);
    backoffs.remove(key);
    newServers.remove(start);
    accepted.put(key, new AcceptedCount(newest, acceptedSince(key, newest) + 1));
  }

  private int acceptedSince(Key key, long newest) {
    AcceptedCount before = accepted.get(key);
    return before == null || before.newestVersion() != newest ? 0 : before.generations();
  }

  /**
   * A server refused a generation: it is full, or loads weights.
   *
   * @param heldVersion version of the model that it is known to hold
   * @param newest newest weight version of the model, if the server does not hold it
   */
  void onRefused(
      ServerStart start,
      String model,
      long heldVersion,
      Optional<NamedVersion> newest,
      long nowMillis) {
    Key key = new Key(start, model);
    accepted.remove(key);
    Backoff last = backoffs.get(key);
    boolean isAgain = last != null && last.heldVersion() == heldVersion;
    if (isAgain && nowMillis < last.untilMillis()) {
      // Sent before the first refusal was known: it tells nothing new.
      return;
    }
    long pause = FULL_BACKOFF_MILLIS;
    if (isAgain && newest.isPresent()) {
      pause = Math.min(MAX_LOADING_BACKOFF_MILLIS, 2 * last.delayMillis());
    }
    long loadedAt =
        newest.map(named -> named.namedAtMillis() + EXPECTED_LOAD_MILLIS).orElse(nowMillis);
    long until = Math.max(nowMillis + pause, loadedAt);
    backoffs.put(key, new Backoff(heldVersion, pause, until));
  }

  /** Whether a server refused the last generation of a model that it answered. */
  boolean isRefusing(ServerEntry server, String model) {
    Backoff last = backoffs.get(new Key(server.start(), model));
    return last != null && last.heldVersion() == server.versionOf(model);
  }

  /**
   * Whether a generation of a model may be sent to a server now. While refusals are likely, each
   * generation that was taken raises the number of unanswered ones by one.
   *
   * @param newest newest weight version of the model, if the server is about to load it
   */
  boolean maySend(ServerEntry server, String model, Optional<NamedVersion> newest, long nowMillis) {
    Key key = new Key(server.start(), model);
    boolean isRefusing = isRefusing(server, model);
    if (isRefusing && nowMillis < backoffs.get(key).untilMillis()) {
      return false;
    }
    int waiting = pending.getOrDefault(key, 0);
    if (isRefusing || newServers.contains(server.start())) {
      return waiting == 0;
    }
    return newest.isEmpty() || waiting <= acceptedSince(key, newest.get().version());
  }
}
