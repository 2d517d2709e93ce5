package org.passhaven.node.gateway;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.passhaven.core.member.BeatTable;
import org.passhaven.node.follow.LogTail;
import org.passhaven.spi.Timers;

/**
 * When a node begins to read which partition. The first candidates for the runs of a partition read
 * it first: after the loss of all nodes, each one reads all of it, and together they share what the
 * log gives a second.
 */
final class PartitionStarts {
  private static final long FIRST_READ_MILLIS = 350;
  private static final long START_SPACING_MILLIS = 50;
  private static final int MAX_START_DELAY_MILLIS = 2_000;
  private final GatewayContext context;
  private final List<LogTail> tails;
  private final BitSet started = new BitSet();
  private final Map<Integer, Timers.Timer> timers = new HashMap<>();

  PartitionStarts(GatewayContext context, List<LogTail> tails) {
    this.context = Objects.requireNonNull(context, "context");
    this.tails = Objects.requireNonNull(tails, "tails");
  }

  /** Ranks the partitions that were not begun, by the nodes that live now. */
  void schedule(BeatTable beats) {
    for (int partition = 0; partition < tails.size(); partition++) {
      if (!started.get(partition)) {
        schedule(partition, delayMillis(beats, tails.get(partition).stream()));
      }
    }
  }

  private void schedule(int partition, long delayMillis) {
    Timers.Timer before = timers.remove(partition);
    if (before != null) {
      before.cancel();
    }
    if (delayMillis == 0) {
      begin(partition);
    } else {
      timers.put(partition, context.timers().after(delayMillis, () -> begin(partition)));
    }
  }

  private void begin(int partition) {
    started.set(partition);
    tails.get(partition).start(0);
  }

  /** A node that knows nobody yet may be one of many that start: it can't tell its place. */
  private long delayMillis(BeatTable beats, String stream) {
    if (beats.taking().isEmpty()) {
      return context.randomBelow().applyAsInt(MAX_START_DELAY_MILLIS);
    }
    int rank = beats.rankOf(stream, context.settings().node());
    return rank == 0
        ? 0
        : Math.min(MAX_START_DELAY_MILLIS, FIRST_READ_MILLIS + rank * START_SPACING_MILLIS);
  }
}
