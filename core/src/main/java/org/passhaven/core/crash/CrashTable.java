package org.passhaven.core.crash;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.passhaven.protocol.crash.CrashNote;

/**
 * Tracks the requests during which servers crashed, by fingerprint. One crash says little, since
 * other requests ran there too and servers also exit by themselves. After one crash the request
 * runs at only one server at a time. After two without a successful run in between, it is
 * quarantined and runs only in trials, one at a time in the whole fleet; each trial and each
 * further crash triples the pause before the next trial, up to a maximum. A successful run clears
 * it. Times are in monotonic milliseconds. Not thread-safe.
 */
public final class CrashTable {
  /** Number of server crashes at which a request is quarantined. */
  static final int QUARANTINE_CRASHES = 2;

  /**
   * Pause before the first trial. Crashed servers restart within about 3 s; an earlier trial could
   * crash the last running server.
   */
  static final long FIRST_PAUSE_MILLIS = 4_000;

  /**
   * Factor by which each trial and each crash after the second lengthens the pause. A request whose
   * first trial crashes a third server is tried again 36 s later and, if that trial crashes a
   * server too, some six minutes after the third crash.
   */
  static final long PAUSE_FACTOR = 3;

  /**
   * Maximum pause. A request that always crashes servers then crashes at most one in ten minutes.
   */
  static final long MAX_PAUSE_MILLIS = 600_000;

  /** Time since the last change of an entry after which it is removed. */
  static final long EXPIRY_MILLIS = 1_200_000;

  /**
   * Bounds the memory of the table; an entry takes about 200 bytes. With 64 requests at each
   * server, it takes sixteen crashes to fill the table.
   */
  public static final int MAX_SUSPECTS = 1_000;

  /**
   * Excess over {@link #MAX_SUSPECTS} at which entries are evicted, many at a time, since choosing
   * them scans the whole table.
   */
  private static final int EVICTION_BATCH = 64;

  private final Map<String, Suspect> suspects = new HashMap<>();

  private static final class Suspect {
    final Set<String> servers = new LinkedHashSet<>();
    int trials;
    String trialNode = "";
    long trialIncarnation;
    boolean isTrialTaken = true;
    long changedMillis;

    int crashesAndTrials() {
      return servers.size() + trials;
    }
  }

  /** Decision on whether a request may run now. */
  public sealed interface RequestDecision {
    /** The request is not suspected. */
    record Unsuspected() implements RequestDecision {}

    /** A server has crashed during the request; it may run, but at only one server at a time. */
    record SingleServer() implements RequestDecision {}

    /** The request must not run before the given time. */
    record Quarantined(long untilMillis) implements RequestDecision {}

    /** The request may run if this node is the first to claim the trial with this number. */
    record TrialDue(int number) implements RequestDecision {}
  }

  /** Returns whether no request is suspected. */
  public boolean isEmpty() {
    return suspects.isEmpty();
  }

  /** Returns the number of suspected requests. */
  public int size() {
    return suspects.size();
  }

  /**
   * Returns whether there are so many entries that some are to be evicted now; {@link
   * #requestsToRemove} returns which.
   */
  public boolean isEvictionDue() {
    return suspects.size() >= MAX_SUSPECTS + EVICTION_BATCH;
  }

  /** Returns whether a request is suspected. */
  public boolean contains(String fingerprint) {
    return suspects.containsKey(fingerprint);
  }

  /**
   * Returns the number of servers that have crashed during a request since its last successful run.
   */
  public int countCrashes(String fingerprint) {
    Suspect suspect = suspects.get(fingerprint);
    return suspect == null ? 0 : suspect.servers.size();
  }

  /** Applies a note that this node writes or reads. Applying a note twice has no effect. */
  public void onNote(CrashNote note, long nowMillis) {
    Suspect suspect = suspects.computeIfAbsent(note.fingerprint(), key -> new Suspect());
    if (note instanceof CrashNote.Crashed crashed) {
      if (suspect.servers.add(crashed.server())) {
        suspect.changedMillis = nowMillis;
      }
    } else if (note instanceof CrashNote.Trial trial && trial.number() > suspect.trials) {
      suspect.trials = trial.number();
      suspect.trialNode = trial.node();
      suspect.trialIncarnation = trial.incarnation();
      suspect.isTrialTaken = false;
      suspect.changedMillis = nowMillis;
    }
  }

  /** Decides whether a request may run. */
  public RequestDecision decide(String fingerprint, long nowMillis) {
    Suspect suspect = suspects.get(fingerprint);
    if (suspect == null) {
      return new RequestDecision.Unsuspected();
    }
    if (suspect.servers.size() < QUARANTINE_CRASHES) {
      return new RequestDecision.SingleServer();
    }
    long until = suspect.changedMillis + pauseMillis(suspect.crashesAndTrials());
    return nowMillis < until
        ? new RequestDecision.Quarantined(until)
        : new RequestDecision.TrialDue(suspect.trials + 1);
  }

  private static long pauseMillis(int crashesAndTrials) {
    long pause = FIRST_PAUSE_MILLIS;
    for (int i = QUARANTINE_CRASHES; i < crashesAndTrials && pause < MAX_PAUSE_MILLIS; i++) {
      pause *= PAUSE_FACTOR;
    }
    return Math.min(pause, MAX_PAUSE_MILLIS);
  }

  /**
   * Takes the newest trial of a request and returns true if it was claimed by this incarnation of
   * the node and not taken yet.
   */
  public boolean takeTrial(String fingerprint, String node, long incarnation) {
    Suspect suspect = suspects.get(fingerprint);
    boolean isOwn =
        suspect != null
            && !suspect.isTrialTaken
            && suspect.trialNode.equals(node)
            && suspect.trialIncarnation == incarnation;
    if (isOwn) {
      suspect.isTrialTaken = true;
    }
    return isOwn;
  }

  /** Makes a taken trial available again because no server ran the request. */
  public void returnTrial(String fingerprint) {
    Suspect suspect = suspects.get(fingerprint);
    if (suspect != null) {
      suspect.isTrialTaken = false;
    }
  }

  /** Removes a request after a successful run or on an operator's command. */
  public void remove(String fingerprint) {
    suspects.remove(fingerprint);
  }

  /** Removes all requests except these, after all notes have been listed again. */
  public void retainAll(Set<String> fingerprints) {
    suspects.keySet().retainAll(fingerprints);
  }

  /** Returns the keys under which the notes on a request are stored. */
  public List<String> keysOf(String fingerprint) {
    Suspect suspect = suspects.get(fingerprint);
    List<String> keys = new ArrayList<>();
    if (suspect != null) {
      suspect.servers.forEach(server -> keys.add(new CrashNote.Crashed(fingerprint, server).key()));
      for (int number = 1; number <= suspect.trials; number++) {
        keys.add(new CrashNote.Trial(fingerprint, number, "", 0).key());
      }
    }
    return keys;
  }

  /**
   * Returns the requests to remove now: those without a change for a long time and, if there are
   * too many, those with the fewest server crashes and trials, among equals the least recently
   * changed first.
   */
  public List<String> requestsToRemove(long nowMillis) {
    List<String> toRemove = new ArrayList<>();
    suspects.forEach(
        (fingerprint, suspect) -> {
          if (nowMillis - suspect.changedMillis >= EXPIRY_MILLIS) {
            toRemove.add(fingerprint);
          }
        });
    int tooMany = suspects.size() - toRemove.size() - MAX_SUSPECTS;
    if (tooMany > 0) {
      suspects.entrySet().stream()
          .filter(entry -> !toRemove.contains(entry.getKey()))
          .sorted(
              Comparator.comparingInt(
                      (Map.Entry<String, Suspect> entry) -> entry.getValue().crashesAndTrials())
                  .thenComparingLong(entry -> entry.getValue().changedMillis)
                  .thenComparing(Map.Entry::getKey))
          .limit(tooMany)
          .map(Map.Entry::getKey)
          .forEach(toRemove::add);
    }
    return toRemove;
  }
}
