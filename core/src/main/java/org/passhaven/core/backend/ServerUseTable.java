package org.passhaven.core.backend;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.passhaven.protocol.member.ServerUse;

/**
 * What other nodes last told of their generations at servers. A figure counts in full until its
 * node's next one is due, and then less and less: the generations that it counted end. Times in
 * monotonic milliseconds of the reader. Not thread-safe.
 */
public final class ServerUseTable {
  /** Time in which a node that generates tells anew, and its beat is read. */
  private static final long FRESH_MILLIS = 1_000;

  /** By then most generations that were under way have ended. */
  private static final long FORGOTTEN_MILLIS = 4_000;

  private final Map<String, Told> byNode = new HashMap<>();

  private record Told(long incarnation, Map<ServerStart, ServerUse> uses, long atMillis) {}

  /** Another node told what it does at servers: all that it does there. */
  public void onTold(String node, long incarnation, List<ServerUse> uses, long nowMillis) {
    Objects.requireNonNull(node, "node");
    // A node that runs no jobs begins no rounds, but is told all the same.
    forgetOld(nowMillis);
    Told before = byNode.get(node);
    if (before != null && incarnation < before.incarnation()) {
      return;
    }
    if (uses.isEmpty()) {
      byNode.remove(node);
      return;
    }
    Map<ServerStart, ServerUse> byStart = new HashMap<>();
    uses.forEach(use -> byStart.put(new ServerStart(use.server(), use.bornMillis()), use));
    byNode.put(node, new Told(incarnation, byStart, nowMillis));
  }

  /** Forgets what was told too long ago to say anything. */
  public void forgetOld(long nowMillis) {
    byNode.values().removeIf(told -> nowMillis - told.atMillis() >= FORGOTTEN_MILLIS);
  }

  /** Number of nodes that have told something lately. */
  public int tellers() {
    return byNode.size();
  }

  /** Generations that other nodes are expected to have at a server now. */
  public double placesTaken(ServerStart start, long nowMillis) {
    double places = 0;
    for (Told told : byNode.values()) {
      ServerUse use = told.uses().get(start);
      if (use != null) {
        places += use.inProgress() * weightAt(nowMillis - told.atMillis());
      }
    }
    return places;
  }

  /** Lasting pause between events at a server by the newest word of it; zero if there is none. */
  public double pauseMillis(ServerStart start, long nowMillis) {
    long newest = Long.MIN_VALUE;
    double pause = 0;
    for (Told told : byNode.values()) {
      ServerUse use = told.uses().get(start);
      boolean isKnown = use != null && use.pauseMillis() > 0;
      if (isKnown && told.atMillis() > newest && weightAt(nowMillis - told.atMillis()) > 0) {
        newest = told.atMillis();
        pause = use.pauseMillis();
      }
    }
    return pause;
  }

  /** Age of the oldest figure that counts for a server; the largest number if none does. */
  public long ageMillis(ServerStart start, long nowMillis) {
    return byNode.values().stream()
        .filter(told -> told.uses().containsKey(start))
        .mapToLong(told -> nowMillis - told.atMillis())
        .filter(age -> weightAt(age) > 0)
        .max()
        .orElse(Long.MAX_VALUE);
  }

  private static double weightAt(long ageMillis) {
    if (ageMillis <= FRESH_MILLIS) {
      return 1;
    }
    double left = FORGOTTEN_MILLIS - ageMillis;
    return Math.max(0, left / (FORGOTTEN_MILLIS - FRESH_MILLIS));
  }
}
