package org.passhaven.core.member;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalInt;
import org.passhaven.protocol.member.MemberBeat;

/**
 * Detects from the order of heartbeats in the log that nearly all nodes of a fleet were lost at
 * once. Each heartbeat states how long its incarnation has been in the log. The part of the log
 * between an incarnation's first heartbeat and a later one therefore spans at least that time,
 * however slow the log is and whenever it is read, and contains a heartbeat of every live node with
 * a shorter interval. A node that starts late in a lost fleet thus detects the loss at its first
 * read. Not thread-safe.
 */
final class FleetLossDetector {
  /**
   * Minimum number of nodes with due heartbeats for a loss to be detected; fewer may be silent by
   * chance.
   */
  static final int MIN_DUE_NODES = 4;

  /**
   * The fleet counts as lost if fewer than one in this many due nodes has sent a heartbeat again.
   * In a live fleet most due nodes have done so, even while the log refuses some writes.
   */
  private static final int LOST_BELOW_ONE_IN = 4;

  private final Map<MemberBeat.NodeIncarnation, IncarnationHistory> histories =
      new LinkedHashMap<>();

  /** Heartbeats read of one incarnation. */
  private static final class IncarnationHistory {
    final MemberBeat first;
    final int firstPosition;
    MemberBeat newest;
    int position;

    IncarnationHistory(MemberBeat first, int position) {
      this.first = first;
      this.firstPosition = position;
    }

    /** Returns the minimum time between the first and the newest heartbeat; 0 if unknown. */
    long spanMillis() {
      return first.inLogMillis() == MemberBeat.FIRST_IN_LOG_MILLIS
          ? newest.inLogMillis() - MemberBeat.FIRST_IN_LOG_MILLIS
          : 0;
    }

    boolean isDueWithin(long spanMillis) {
      return newest.taking() && newest.periodMillis() <= spanMillis;
    }
  }

  /** Applies a heartbeat; positions increase in the order of the log. */
  void onHeartbeat(MemberBeat heartbeat, int position) {
    IncarnationHistory history =
        histories.computeIfAbsent(
            heartbeat.nodeIncarnation(), key -> new IncarnationHistory(heartbeat, position));
    history.newest = heartbeat;
    history.position = position;
  }

  /** Discards all heartbeats read so far, after some were skipped. */
  void reset() {
    histories.clear();
  }

  /**
   * Returns the log position of the first heartbeat after the loss of the fleet; empty if it was
   * not lost.
   */
  OptionalInt firstPositionAfterLoss() {
    return histories.values().stream()
        .filter(history -> history.spanMillis() > 0 && isLostBefore(history))
        .mapToInt(history -> history.firstPosition)
        .findFirst();
  }

  /**
   * Returns whether nearly none of the nodes that were alive before an incarnation started has sent
   * a heartbeat since.
   */
  private boolean isLostBefore(IncarnationHistory since) {
    int dueNodes = 0;
    int resumed = 0;
    for (IncarnationHistory history : newestBefore(since).values()) {
      boolean hasResumed = history.position > since.firstPosition;
      // A node that has sent a heartbeat before one was due is alive, too.
      if (hasResumed || history.isDueWithin(since.spanMillis())) {
        dueNodes++;
        resumed += hasResumed ? 1 : 0;
      }
    }
    return dueNodes >= MIN_DUE_NODES && resumed * LOST_BELOW_ONE_IN < dueNodes;
  }

  /**
   * Returns the newest incarnation of each node that was in the log before another incarnation, by
   * node.
   */
  private Map<String, IncarnationHistory> newestBefore(IncarnationHistory since) {
    Map<String, IncarnationHistory> newest = new HashMap<>();
    for (IncarnationHistory history : histories.values()) {
      if (history.firstPosition < since.firstPosition) {
        newest.put(history.newest.node(), history);
      }
    }
    return newest;
  }
}
