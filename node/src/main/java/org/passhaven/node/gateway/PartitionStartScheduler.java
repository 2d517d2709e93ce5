package org.passhaven.node.gateway;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.passhaven.core.member.HeartbeatTable;
import org.passhaven.node.follow.LogTail;
import org.passhaven.spi.Timers;

/**
 * Staggers the initial reads of the partitions. The first candidates for the runs of a partition
 * read it first, so that nodes that start at the same time do not overload the log.
 */
final class PartitionStartScheduler {
  private static final long FIRST_CANDIDATE_LEAD_MILLIS = 350;
  private static final long START_SPACING_MILLIS = 50;
  private static final int MAX_START_DELAY_MILLIS = 2_000;
  private final GatewayContext context;
  private final List<LogTail> tails;
  private final BitSet startedPartitions = new BitSet();
  private final Map<Integer, Timers.Timer> pendingStarts = new HashMap<>();

  PartitionStartScheduler(GatewayContext context, List<LogTail> tails) {
    this.context = Objects.requireNonNull(context, "context");
    this.tails = Objects.requireNonNull(tails, "tails");
  }

  /** Schedules the partitions that are not started, ranked by the nodes that are live now. */
  void schedule(HeartbeatTable heartbeats) {
    for (int partition = 0; partition < tails.size(); partition++) {
      if (!startedPartitions.get(partition)) {
        schedule(partition, delayMillis(heartbeats, tails.get(partition).stream()));
      }
    }
  }

  private void schedule(int partition, long delayMillis) {
    Timers.Timer previous = pendingStarts.remove(partition);
    if (previous != null) {
      previous.cancel();
    }
    if (delayMillis == 0) {
      startTail(partition);
    } else {
      pendingStarts.put(partition, context.timers().after(delayMillis, () -> startTail(partition)));
    }
  }

  private void startTail(int partition) {
    startedPartitions.set(partition);
    tails.get(partition).start(0);
  }

  /** Returns the delay by this node's rank, or a random one while no live node is known. */
  private long delayMillis(HeartbeatTable heartbeats, String stream) {
    if (heartbeats.acceptingNodes().isEmpty()) {
      return context.randomBelow().applyAsInt(MAX_START_DELAY_MILLIS);
    }
    int rank = heartbeats.rankForKey(stream, context.settings().node());
    return rank == 0
        ? 0
        : Math.min(
            MAX_START_DELAY_MILLIS, FIRST_CANDIDATE_LEAD_MILLIS + rank * START_SPACING_MILLIS);
  }
}
