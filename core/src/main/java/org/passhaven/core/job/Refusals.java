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
final class Refusals {
  /** Pause after the refusal of a full server, which has room when one of its generations ends. */
  private static final long FULL_PAUSE_MILLIS = 80;

  /**
   * Longest pause after refusals of a loading server, doubled at each one. It is asked again since
   * the news that it has loaded may be late.
   */
  private static final long MAX_LOADING_PAUSE_MILLIS = 320;

  /** Time from the announcement of a version until a server that loads it at once holds it. */
  private static final long LOAD_MILLIS = 1_000;

  private final Map<Key, Refused> refused = new HashMap<>();

  /** Generations sent that the server has neither begun nor refused. */
  private final Map<Key, Integer> unanswered = new HashMap<>();

  /** Generations that a server has taken since it last refused one, under one newest version. */
  private final Map<Key, Taken> taken = new HashMap<>();

  /** Servers that started while this node ran jobs and have taken nothing from it yet. */
  private final Set<ServerStart> untried = new HashSet<>();

  private Set<ServerStart> listed = Set.of();

  /** One model at one start of a server. */
  private record Key(ServerStart start, String model) {}

  /** Generations taken while a version was the newest one. */
  private record Taken(long newest, int generations) {}

  /** The last refusal: the version held then, and when the server may be asked again. */
  private record Refused(long heldVersion, long pauseMillis, long untilMillis) {}

  /** Forgets servers that are not listed any more, and notes those that are new. */
  void retain(Set<ServerStart> starts) {
    if (listed.equals(starts)) {
      return;
    }
    if (!listed.isEmpty()) {
      starts.stream().filter(start -> !listed.contains(start)).forEach(untried::add);
    }
    listed = Set.copyOf(starts);
    untried.retainAll(starts);
    refused.keySet().removeIf(key -> !starts.contains(key.start()));
    unanswered.keySet().removeIf(key -> !starts.contains(key.start()));
    taken.keySet().removeIf(key -> !starts.contains(key.start()));
  }

  /** A generation was sent to a server. */
  void onSent(ServerStart start, String model) {
    unanswered.merge(new Key(start, model), 1, Integer::sum);
  }

  /** A generation that was sent was begun, refused or has failed. */
  void onAnswered(ServerStart start, String model) {
    unanswered.computeIfPresent(
        new Key(start, model), (key, count) -> count > 1 ? count - 1 : null);
  }

  /**
   * A server has begun a generation.
   *
   * @param newest newest weight version of the model
   */
  void onTaken(ServerStart start, String model, long newest) {
    Key key = new Key(start, model);
    onAnswered(start, model);
    refused.remove(key);
    untried.remove(start);
    taken.put(key, new Taken(newest, takenAt(key, newest) + 1));
  }

  private int takenAt(Key key, long newest) {
    Taken before = taken.get(key);
    return before == null || before.newest() != newest ? 0 : before.generations();
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
    taken.remove(key);
    Refused last = refused.get(key);
    boolean isAgain = last != null && last.heldVersion() == heldVersion;
    if (isAgain && nowMillis < last.untilMillis()) {
      // Sent before the first refusal was known: it tells nothing new.
      return;
    }
    long pause = FULL_PAUSE_MILLIS;
    if (isAgain && newest.isPresent()) {
      pause = Math.min(MAX_LOADING_PAUSE_MILLIS, 2 * last.pauseMillis());
    }
    long loadedAt = newest.map(named -> named.namedAtMillis() + LOAD_MILLIS).orElse(nowMillis);
    long until = Math.max(nowMillis + pause, loadedAt);
    refused.put(key, new Refused(heldVersion, pause, until));
  }

  /** Whether a server refused the last generation of a model that it answered. */
  boolean isRefusing(ServerEntry server, String model) {
    Refused last = refused.get(new Key(server.start(), model));
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
    if (isRefusing && nowMillis < refused.get(key).untilMillis()) {
      return false;
    }
    int waiting = unanswered.getOrDefault(key, 0);
    if (isRefusing || untried.contains(server.start())) {
      return waiting == 0;
    }
    return newest.isEmpty() || waiting <= takenAt(key, newest.get().version());
  }
}
