package org.passhaven.core.backend;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.passhaven.protocol.member.ServerUse;

/**
 * Latest reports of other nodes on their generations in progress at each server and the intervals
 * between events there. A report has full weight until the node's next one is due; then its weight
 * falls linearly to zero, as the reported generations end. Times are in monotonic milliseconds of
 * the reading node. Not thread-safe.
 */
public final class ServerUseTable {
  /** Age up to which a report has full weight: the next one is due by then. */
  private static final long FULL_WEIGHT_MILLIS = 1_000;

  /** Age from which a report is ignored: most reported generations have ended by then. */
  private static final long EXPIRY_MILLIS = 4_000;

  private final Map<String, Report> byNode = new HashMap<>();

  private record Report(
      long incarnation, Map<ServerIncarnation, ServerUse> uses, long receivedAtMillis) {}

  /** Adds a report of another node, replacing the node's previous one. */
  public void onReport(String node, long incarnation, List<ServerUse> uses, long nowMillis) {
    Objects.requireNonNull(node, "node");
    // Nodes without jobs receive reports but run no scheduling rounds, in which forgetExpired is
    // called.
    forgetExpired(nowMillis);
    Report before = byNode.get(node);
    if (before != null && incarnation < before.incarnation()) {
      return;
    }
    if (uses.isEmpty()) {
      byNode.remove(node);
      return;
    }
    Map<ServerIncarnation, ServerUse> byIncarnation = new HashMap<>();
    uses.forEach(
        use -> byIncarnation.put(new ServerIncarnation(use.server(), use.bornMillis()), use));
    byNode.put(node, new Report(incarnation, byIncarnation, nowMillis));
  }

  /** Removes expired reports. */
  public void forgetExpired(long nowMillis) {
    byNode.values().removeIf(report -> nowMillis - report.receivedAtMillis() >= EXPIRY_MILLIS);
  }

  /** Returns the number of nodes with a report, including expired ones that are not removed yet. */
  public int reportingNodes() {
    return byNode.size();
  }

  /** Returns the estimated number of generations of other nodes at a server now. */
  public double slotsInUse(ServerIncarnation incarnation, long nowMillis) {
    double slots = 0;
    for (Report report : byNode.values()) {
      ServerUse use = report.uses().get(incarnation);
      if (use != null) {
        slots += use.inProgress() * weightAtAge(nowMillis - report.receivedAtMillis());
      }
    }
    return slots;
  }

  /**
   * Returns the sustained interval between events at a server, from the newest unexpired report
   * that states it, or zero if there is none.
   */
  public double pauseMillis(ServerIncarnation incarnation, long nowMillis) {
    long newest = Long.MIN_VALUE;
    double pause = 0;
    for (Report report : byNode.values()) {
      ServerUse use = report.uses().get(incarnation);
      boolean isKnown = use != null && use.pauseMillis() > 0;
      if (isKnown
          && report.receivedAtMillis() > newest
          && weightAtAge(nowMillis - report.receivedAtMillis()) > 0) {
        newest = report.receivedAtMillis();
        pause = use.pauseMillis();
      }
    }
    return pause;
  }

  /**
   * Returns the age of the oldest unexpired report on a server, or {@link Long#MAX_VALUE} if there
   * is none.
   */
  public long ageMillis(ServerIncarnation incarnation, long nowMillis) {
    return byNode.values().stream()
        .filter(report -> report.uses().containsKey(incarnation))
        .mapToLong(report -> nowMillis - report.receivedAtMillis())
        .filter(age -> weightAtAge(age) > 0)
        .max()
        .orElse(Long.MAX_VALUE);
  }

  private static double weightAtAge(long ageMillis) {
    if (ageMillis <= FULL_WEIGHT_MILLIS) {
      return 1;
    }
    double left = EXPIRY_MILLIS - ageMillis;
    return Math.max(0, left / (EXPIRY_MILLIS - FULL_WEIGHT_MILLIS));
  }
}
