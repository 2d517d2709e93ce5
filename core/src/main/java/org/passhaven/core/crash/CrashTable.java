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
 * Requests under which servers have ended, by fingerprint. One end says little: others ran there
 * too, and servers end by themselves. After two, with no run in between that ended well, the
 * request is held back and runs only in trials, one at a time in the whole fleet, with pauses that
 * grow threefold. A run that ends well clears it. Times in monotonic milliseconds. Not thread-safe.
 */
public final class CrashTable {
  /** Fewest ends of servers under a request that is held back. */
  static final int HELD_AFTER = 2;

  /**
   * Pause before the first trial. Servers that crashed are back after some 3 s: a trial before that
   * may take the last one down. In virtual time, three servers that take 3.1 s, a pause of 2 s left
   * 97.9 % of the other lookups served, one of 4 s 99.98 %.
   */
  static final long FIRST_PAUSE_MILLIS = 4_000;

  /** With it the first two trials after a third crash are 36 s and six minutes later. */
  static final long PAUSE_FACTOR = 3;

  /** A request that crashes servers costs one of them in ten minutes at most. */
  static final long MOST_PAUSE_MILLIS = 600_000;

  /** Time after the last news of a request after which it is forgotten. */
  static final long FORGET_MILLIS = 1_200_000;

  /** About 200 bytes each. At 64 requests a server it takes sixteen ends of servers to fill it. */
  public static final int MOST_SUSPECTS = 1_000;

  /** Finding whom to forget takes a look at all: it is done for many at a time. */
  private static final int OVERFULL_BY = 64;

  private final Map<String, Suspect> suspects = new HashMap<>();

  private static final class Suspect {
    final Set<String> servers = new LinkedHashSet<>();
    int trials;
    String trialNode = "";
    long trialIncarnation;
    boolean trialIsUsed = true;
    long changedMillis;

    int rank() {
      return servers.size() + trials;
    }
  }

  /** What may be done with a request now. */
  public sealed interface Verdict {
    /** Nothing is known of it. */
    record Clear() implements Verdict {}

    /** A server has ended under it; it may run, but at one server at a time. */
    record Alone() implements Verdict {}

    /** It must not run before this time. */
    record Held(long untilMillis) implements Verdict {}

    /** It may run if this node is the first to claim the trial of this number. */
    record TrialDue(int number) implements Verdict {}
  }

  /** Whether nothing is known of any request. */
  public boolean isEmpty() {
    return suspects.isEmpty();
  }

  /** Number of requests of which something is known. */
  public int size() {
    return suspects.size();
  }

  /** Whether there are so many that some are to be forgotten now; {@link #due} tells which. */
  public boolean isOverfull() {
    return suspects.size() >= MOST_SUSPECTS + OVERFULL_BY;
  }

  /** Whether something is known of a request. */
  public boolean contains(String fingerprint) {
    return suspects.containsKey(fingerprint);
  }

  /** Servers that have ended under a request since it last ended well. */
  public int crashes(String fingerprint) {
    Suspect suspect = suspects.get(fingerprint);
    return suspect == null ? 0 : suspect.servers.size();
  }

  /** Takes a note that this node makes or reads; the same one twice changes nothing. */
  public void onNote(CrashNote note, long nowMillis) {
    Suspect suspect = suspects.computeIfAbsent(note.fingerprint(), key -> new Suspect());
    if (note instanceof CrashNote.Ended ended) {
      if (suspect.servers.add(ended.server())) {
        suspect.changedMillis = nowMillis;
      }
    } else if (note instanceof CrashNote.Trial trial && trial.number() > suspect.trials) {
      suspect.trials = trial.number();
      suspect.trialNode = trial.node();
      suspect.trialIncarnation = trial.incarnation();
      suspect.trialIsUsed = false;
      suspect.changedMillis = nowMillis;
    }
  }

  /** Whether a request may run. */
  public Verdict verdict(String fingerprint, long nowMillis) {
    Suspect suspect = suspects.get(fingerprint);
    if (suspect == null) {
      return new Verdict.Clear();
    }
    if (suspect.servers.size() < HELD_AFTER) {
      return new Verdict.Alone();
    }
    long until = suspect.changedMillis + pauseMillis(suspect.rank());
    return nowMillis < until ? new Verdict.Held(until) : new Verdict.TrialDue(suspect.trials + 1);
  }

  private static long pauseMillis(int rank) {
    long pause = FIRST_PAUSE_MILLIS;
    for (int i = HELD_AFTER; i < rank && pause < MOST_PAUSE_MILLIS; i++) {
      pause *= PAUSE_FACTOR;
    }
    return Math.min(pause, MOST_PAUSE_MILLIS);
  }

  /** Takes the newest trial, if it is of this start of a node and not taken yet. */
  public boolean takeTrial(String fingerprint, String node, long incarnation) {
    Suspect suspect = suspects.get(fingerprint);
    boolean isOwn =
        suspect != null
            && !suspect.trialIsUsed
            && suspect.trialNode.equals(node)
            && suspect.trialIncarnation == incarnation;
    if (isOwn) {
      suspect.trialIsUsed = true;
    }
    return isOwn;
  }

  /** The trial that was taken came to nothing: no server ran the request. */
  public void giveTrialBack(String fingerprint) {
    Suspect suspect = suspects.get(fingerprint);
    if (suspect != null) {
      suspect.trialIsUsed = false;
    }
  }

  /** Forgets a request: a run of it has ended well, or it is told to be forgotten. */
  public void remove(String fingerprint) {
    suspects.remove(fingerprint);
  }

  /** Keeps only these requests: all notes were listed anew. */
  public void retain(Set<String> fingerprints) {
    suspects.keySet().retainAll(fingerprints);
  }

  /** Keys under which the notes on a request stand. */
  public List<String> keysOf(String fingerprint) {
    Suspect suspect = suspects.get(fingerprint);
    List<String> keys = new ArrayList<>();
    if (suspect != null) {
      suspect.servers.forEach(server -> keys.add(new CrashNote.Ended(fingerprint, server).key()));
      for (int number = 1; number <= suspect.trials; number++) {
        keys.add(new CrashNote.Trial(fingerprint, number, "", 0).key());
      }
    }
    return keys;
  }

  /**
   * Requests that are to be forgotten now: those of which nothing was heard for long, and of too
   * many those under which fewest servers have ended, the oldest first.
   */
  public List<String> due(long nowMillis) {
    List<String> due = new ArrayList<>();
    suspects.forEach(
        (fingerprint, suspect) -> {
          if (nowMillis - suspect.changedMillis >= FORGET_MILLIS) {
            due.add(fingerprint);
          }
        });
    int tooMany = suspects.size() - due.size() - MOST_SUSPECTS;
    if (tooMany > 0) {
      suspects.entrySet().stream()
          .filter(entry -> !due.contains(entry.getKey()))
          .sorted(
              Comparator.comparingInt((Map.Entry<String, Suspect> entry) -> entry.getValue().rank())
                  .thenComparingLong(entry -> entry.getValue().changedMillis)
                  .thenComparing(Map.Entry::getKey))
          .limit(tooMany)
          .map(Map.Entry::getKey)
          .forEach(due::add);
    }
    return due;
  }
}
