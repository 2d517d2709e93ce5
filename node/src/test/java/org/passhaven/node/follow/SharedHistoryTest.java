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
 * Nodes that start anew read the history of all jobs: from a store whose readers share what it
 * gives a second, some of them over narrow links.
 */
class SharedHistoryTest {
  private static final double STORE_BYTES_PER_MILLI = 80_000;
  private static final double WIDE_BYTES_PER_MILLI = 75_000;
  private static final double NARROW_BYTES_PER_MILLI = 7_500;
  private static final int NODES = 80;
  private static final int PARTITIONS = 3;
  private static final int RECORD_BYTES = 6_000;
  private static final int RECORDS = 1_000;
  private static final long HISTORY_BYTES = (long) PARTITIONS * RECORDS * RECORD_BYTES;
  private static final double MARGIN = 1.5;
  private static final long DRAIN_BOUND_MILLIS = 3_000;
  private static final int LEAVING = 60;
  private static final long BETWEEN_LEAVING_MILLIS = 400;
  private final ManualTimers timers = new ManualTimers();
  private final SharedStore store = new SharedStore(timers, STORE_BYTES_PER_MILLI);

  private void fill(int recordsOfPartition) {
    for (int partition = 0; partition < PARTITIONS; partition++) {
      store.fill("jobs." + partition, recordsOfPartition, RECORD_BYTES);
    }
  }

  /** Starts a node's tails; the first candidate for a partition reads it at once. */
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

  private static long withMargin(double neededMillis) {
    return (long) (neededMillis * MARGIN);
  }

  private static boolean isCaughtUp(List<LogTail> node) {
    return node.stream().allMatch(LogTail::isCaughtUp);
  }

  @Test
  void historyIsReadAboutOnce() {
    fill(500);
    LogTail tail =
        new LogTail(store.over(WIDE_BYTES_PER_MILLI), timers, "jobs.0", () -> 100, record -> {});
    tail.start(0);
    timers.advance(2_000);
    assertThat(tail.isCaughtUp(), is(true));
    assertThat(store.givenBytes(), lessThan(500L * RECORD_BYTES * 5 / 4));
  }

  @Test
  void aNodeBehindANarrowLinkCatchesUpInAboutTheTimeThatItsLinkNeeds() {
    fill(RECORDS);
    List<LogTail> node = startNode(store.over(NARROW_BYTES_PER_MILLI), NODES - 1);
    timers.advance(2_000 + withMargin(HISTORY_BYTES / NARROW_BYTES_PER_MILLI));
    assertThat(isCaughtUp(node), is(true));
  }

  @Test
  void nodesThatStartTogetherCatchUpInAboutTheTimeThatTheStoreNeedsForThem() {
    fill(RECORDS);
    List<List<LogTail>> nodes = new ArrayList<>();
    for (int node = 0; node < NODES; node++) {
      double link = node % 4 == 0 ? WIDE_BYTES_PER_MILLI : NARROW_BYTES_PER_MILLI;
      nodes.add(startNode(store.over(link), node));
    }
    timers.advance(3_000 + withMargin(NODES * HISTORY_BYTES / STORE_BYTES_PER_MILLI));
    assertThat(nodes.stream().filter(SharedHistoryTest::isCaughtUp).count(), equalTo((long) NODES));
  }

  /**
   * A quarter of the nodes start anew, most of them behind narrow links. What a node that had no
   * trouble is to know of servers comes over the same store.
   */
  @Test
  void newsOfServersThatLeaveComesInTimeWhileOtherNodesReadTheHistory() {
    fill(RECORDS);
    List<Long> heardAt = new ArrayList<>();
    LogTail news =
        new LogTail(
            store.over(WIDE_BYTES_PER_MILLI),
            timers,
            "servers.0",
            () -> 0,
            record -> heardAt.add(timers.nowMillis()));
    news.start(0);
    timers.advance(100);
    for (int node = 0; node < NODES / 4; node++) {
      double link = node < 6 ? WIDE_BYTES_PER_MILLI : NARROW_BYTES_PER_MILLI;
      startNode(store.over(link), node * 4 + 1);
    }
    for (int leaving = 0; leaving < LEAVING; leaving++) {
      timers.advance(BETWEEN_LEAVING_MILLIS);
      store.fill("servers.0", 1, 300);
    }
    timers.advance(30_000);
    assertThat(heardAt, hasSize(LEAVING));
    for (int i = 0; i < LEAVING; i++) {
      long toldAtMillis = 100 + (i + 1) * BETWEEN_LEAVING_MILLIS;
      assertThat(heardAt.get(i) - toldAtMillis, lessThan(DRAIN_BOUND_MILLIS));
    }
  }
}
