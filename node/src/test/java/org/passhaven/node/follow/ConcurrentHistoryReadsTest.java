package org.passhaven.node.follow;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.passhaven.node.ManualTimers;
import org.passhaven.spi.LogService;

/**
 * Guards against slow start-up when many nodes read the history of all jobs at once from a store
 * with limited bandwidth, some of them over narrow links.
 */
class ConcurrentHistoryReadsTest {
  private static final double STORE_BYTES_PER_MILLI = 80_000;
  private static final double WIDE_BYTES_PER_MILLI = 75_000;
  private static final double NARROW_BYTES_PER_MILLI = 7_500;
  private static final int NODES = 80;
  private static final int PARTITIONS = 3;
  private static final int RECORD_BYTES = 6_000;
  private static final int RECORDS_PER_PARTITION = 1_000;
  private static final long HISTORY_BYTES =
      (long) PARTITIONS * RECORDS_PER_PARTITION * RECORD_BYTES;
  private static final double TIME_MARGIN_FACTOR = 1.5;
  private static final long MAX_DELAY_MILLIS = 3_000;
  private static final int LEAVING_SERVERS = 60;
  private static final long LEAVE_INTERVAL_MILLIS = 400;
  private final ManualTimers timers = new ManualTimers();
  private final BandwidthLimitedLog store = new BandwidthLimitedLog(timers, STORE_BYTES_PER_MILLI);

  private void fill(int recordsOfPartition) {
    for (int partition = 0; partition < PARTITIONS; partition++) {
      store.fill("jobs." + partition, recordsOfPartition, RECORD_BYTES);
    }
  }

  /** Starts a node's tails; the first standby node of a partition reads it without delay. */
  private List<LogTail> startNode(LogService log, int node) {
    List<LogTail> tails = new ArrayList<>();
    for (int partition = 0; partition < PARTITIONS; partition++) {
      LogTail tail = new LogTail(log, timers, "jobs." + partition, () -> 100, record -> {});
      tails.add(tail);
      int rank = Math.floorMod(node - partition * NODES / PARTITIONS, NODES);
      timers.after(rank == 0 ? 0 : Math.min(2_000, 350 + rank * 50L), () -> tail.start(0));
    }
    return tails;
  }

  private static long withMargin(double expectedMillis) {
    return (long) (expectedMillis * TIME_MARGIN_FACTOR);
  }

  private static boolean isCaughtUp(List<LogTail> node) {
    return node.stream().allMatch(LogTail::isCaughtUp);
  }

  @Test
  void historyIsNotReadTwice() {
    fill(500);
    LogTail tail =
        new LogTail(
            store.withLink(WIDE_BYTES_PER_MILLI), timers, "jobs.0", () -> 100, record -> {});
    tail.start(0);
    timers.advance(2_000);
    assertThat(tail.isCaughtUp(), is(true));
    assertThat(store.sentBytes(), lessThan(500L * RECORD_BYTES * 5 / 4));
  }

  @Test
  void nodeCatchesUpAtTheRateOfItsNarrowLink() {
    fill(RECORDS_PER_PARTITION);
    List<LogTail> node = startNode(store.withLink(NARROW_BYTES_PER_MILLI), NODES - 1);
    timers.advance(2_000 + withMargin(HISTORY_BYTES / NARROW_BYTES_PER_MILLI));
    assertThat(isCaughtUp(node), is(true));
  }

  @Test
  void nodesStartedTogetherCatchUpAtTheRateOfTheStore() {
    fill(RECORDS_PER_PARTITION);
    List<List<LogTail>> nodes = new ArrayList<>();
    for (int node = 0; node < NODES; node++) {
      double link = node % 4 == 0 ? WIDE_BYTES_PER_MILLI : NARROW_BYTES_PER_MILLI;
      nodes.add(startNode(store.withLink(link), node));
    }
    timers.advance(3_000 + withMargin(NODES * HISTORY_BYTES / STORE_BYTES_PER_MILLI));
    assertThat(
        nodes.stream().filter(ConcurrentHistoryReadsTest::isCaughtUp).count(),
        equalTo((long) NODES));
  }

  /** A quarter of the nodes restart, most of them behind narrow links. */
  @Test
  void serverRecordsArriveInTimeWhileOtherNodesReadHistory() {
    fill(RECORDS_PER_PARTITION);
    List<Long> receivedAtMillis = new ArrayList<>();
    LogTail serverTail =
        new LogTail(
            store.withLink(WIDE_BYTES_PER_MILLI),
            timers,
            "servers.0",
            () -> 0,
            record -> receivedAtMillis.add(timers.nowMillis()));
    serverTail.start(0);
    timers.advance(100);
    for (int node = 0; node < NODES / 4; node++) {
      double link = node < 6 ? WIDE_BYTES_PER_MILLI : NARROW_BYTES_PER_MILLI;
      startNode(store.withLink(link), node * 4 + 1);
    }
    for (int leaving = 0; leaving < LEAVING_SERVERS; leaving++) {
      timers.advance(LEAVE_INTERVAL_MILLIS);
      store.fill("servers.0", 1, 300);
    }
    timers.advance(30_000);
    assertThat(receivedAtMillis, hasSize(LEAVING_SERVERS));
    for (int i = 0; i < LEAVING_SERVERS; i++) {
      long appendedAtMillis = 100 + (i + 1) * LEAVE_INTERVAL_MILLIS;
      assertThat(receivedAtMillis.get(i) - appendedAtMillis, lessThan(MAX_DELAY_MILLIS));
    }
  }
}
