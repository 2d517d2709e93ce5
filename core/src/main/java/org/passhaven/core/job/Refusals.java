package org.passhaven.core.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerStart;

/**
 * Which servers do not take generations of a model now, as far as their answers tell. A server that
 * loads weights of a model refuses that model only, until it has them; so many generations that
 * begin at once are not all sent to servers that are about to load, or have just started: one goes
 * first. Times in monotonic milliseconds. Not thread-safe.
 */
final class Refusals {
  /** A full server has room again when one of its generations ends. */
  private static final long FULL_PAUSE_MILLIS = 80;

  /** Time that a load takes; its end is told, so that asking before is no gain. */
  private static final long LOAD_PAUSE_MILLIS = 1_000;

  /** A load that takes longer, or whose end is not known here yet. */
  private static final long LONG_LOAD_PAUSE_MILLIS = 320;

  private final Map<Key, Refused> refused = new HashMap<>();

  /** Generations sent that the server has neither begun nor refused. */
  private final Map<Key, Integer> unanswered = new HashMap<>();

  /** Servers that started while this node ran jobs and have taken nothing from it yet. */
  private final Set<ServerStart> untried = new HashSet<>();

  private Set<ServerStart> listed = Set.of();

  private record Key(ServerStart start, String model) {}

  private record Refused(long heldVersion, long untilMillis) {}

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
  }

  void onSent(ServerStart start, String model) {
    unanswered.merge(new Key(start, model), 1, Integer::sum);
  }

  /** A generation that was sent waits for its server no longer, whatever came of it. */
  void onAnswered(ServerStart start, String model) {
    unanswered.computeIfPresent(
        new Key(start, model), (key, count) -> count > 1 ? count - 1 : null);
  }

  /** A server has begun a generation. */
  void onTaken(ServerStart start, String model) {
    onAnswered(start, model);
    refused.remove(new Key(start, model));
    untried.remove(start);
  }

  /**
   * A server does not take a generation: it is full, or loads weights.
   *
   * @param heldVersion version of the model that it is known to hold
   * @param newest newest weight version of the model
   */
  void onRefused(ServerStart start, String model, long heldVersion, long newest, long nowMillis) {
    Key key = new Key(start, model);
    Refused last = refused.get(key);
    boolean isAgain = last != null && last.heldVersion() == heldVersion;
    if (isAgain && nowMillis < last.untilMillis()) {
      // Sent before the first answer came: it says the same.
      return;
    }
    long pause = FULL_PAUSE_MILLIS;
    if (heldVersion < newest) {
      pause = isAgain ? LONG_LOAD_PAUSE_MILLIS : LOAD_PAUSE_MILLIS;
    }
    refused.put(key, new Refused(heldVersion, nowMillis + pause));
  }

  /** Whether a server's last word to a generation of a model was that it does not take it. */
  boolean isRefusing(ServerEntry server, String model) {
    Refused last = refused.get(new Key(server.start(), model));
    return last != null && last.heldVersion() == server.versionOf(model);
  }

  /**
   * Whether a generation of a model may be sent to a server now.
   *
   * @param isAboutToLoad whether the server may begin at any moment to load weights of the model
   */
  boolean maySend(ServerEntry server, String model, boolean isAboutToLoad, long nowMillis) {
    Key key = new Key(server.start(), model);
    boolean isRefusing = isRefusing(server, model);
    if (isRefusing && nowMillis < refused.get(key).untilMillis()) {
      return false;
    }
    boolean isOneAtATime = isAboutToLoad || isRefusing || untried.contains(server.start());
    return !isOneAtATime || !unanswered.containsKey(key);
  }
}
