package org.passhaven.core.backend;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.passhaven.protocol.member.ServerUse;

/**
 * Other nodes' last reports of their generations at servers. A report counts in full until the
 * node's next one is due; then its weight falls linearly to zero, since the reported generations
 * end. Times in monotonic milliseconds of the reader. Not thread-safe.
 */
public final class ServerUseTable {
  /** Time within which the next report of a node that generates is read. */
  private static final long FRESH_MILLIS = 1_000;

  /** Age from which a report counts no more: most reported generations have ended by then. */
  private static final long EXPIRED_MILLIS = 4_000;

  private final Map<String, Report> byNode = new HashMap<>();

  private record Report(long incarnation, Map<ServerStart, ServerUse> uses, long atMillis) {}

  /** Takes in a report of another node; it replaces the node's former one. */
  public void onReport(String node, long incarnation, List<ServerUse> uses, long nowMillis) {
    Objects.requireNonNull(node, "node");
    // Done here too, since a node without jobs begins no rounds but receives reports.
    forgetExpired(nowMillis);
    Report before = byNode.get(node);
    if (before != null && incarnation < before.incarnation()) {
      return;
    }
    if (uses.isEmpty()) {
      byNode.remove(node);
      return;
    }
    Map<ServerStart, ServerUse> byStart = new HashMap<>();
    uses.forEach(use -> byStart.put(new ServerStart(use.server(), use.bornMillis()), use));
    byNode.put(node, new Report(incarnation, byStart, nowMillis));
  }

  /** Forgets reports that count no more. */
  public void forgetExpired(long nowMillis) {
    byNode.values().removeIf(report -> nowMillis - report.atMillis() >= EXPIRED_MILLIS);
  }

  /** Number of nodes with a report that still counts. */
  public int reportingNodes() {
    return byNode.size();
  }

  /** Expected number of generations of other nodes at a server now. */
  public double placesTaken(ServerStart start, long nowMillis) {
    double places = 0;
    for (Report report : byNode.values()) {
      ServerUse use = report.uses().get(start);
      if (use != null) {
        places += use.inProgress() * weightAt(nowMillis - report.atMillis());
      }
    }
    return places;
  }

  /** Lasting pause between events at a server by the newest report of it; zero if there is none. */
  public double pauseMillis(ServerStart start, long nowMillis) {
    long newest = Long.MIN_VALUE;
    double pause = 0;
    for (Report report : byNode.values()) {
      ServerUse use = report.uses().get(start);
      boolean isKnown = use != null && use.pauseMillis() > 0;
      if (isKnown && report.atMillis() > newest && weightAt(nowMillis - report.atMillis()) > 0) {
        newest = report.atMillis();
        pause = use.pauseMillis();
      }
    }
    return pause;
  }

  /** Age of the oldest report that counts for a server; {@link Long#MAX_VALUE} if none does. */
  public long ageMillis(ServerStart start, long nowMillis) {
    return byNode.values().stream()
        .filter(report -> report.uses().containsKey(start))
        .mapToLong(report -> nowMillis - report.atMillis())
        .filter(age -> weightAt(age) > 0)
        .max()
        .orElse(Long.MAX_VALUE);
  }

  private static double weightAt(long ageMillis) {
    if (ageMillis <= FRESH_MILLIS) {
      return 1;
    }
    double left = EXPIRED_MILLIS - ageMillis;
    return Math.max(0, left / (EXPIRED_MILLIS - FRESH_MILLIS));
  }
}
