package org.passhaven.core.member;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.startsWith;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.passhaven.protocol.member.MemberBeat;

/**
 * Guards against work being assigned to small machines in a fleet of a few large and many small
 * ones.
 */
class LargeNodesTest {
  private static final int LARGE_NODES = 20;
  private static final int SMALL_NODES = 60;
  private static final double LARGE_NODE_CORES = 1.5;
  private static final double SMALL_NODE_CORES = 0.36;
  private final HeartbeatTable table = new HeartbeatTable(1_600);

  private void heartbeat(String node, long incarnation, double cores) {
    MemberBeat heartbeat =
        new MemberBeat(node, node + ":1", "z", incarnation, true, 0, 500, cores, 0);
    table.onHeartbeat(heartbeat, 1_000);
  }

  private void sendAllHeartbeats() {
    for (int i = 0; i < LARGE_NODES; i++) {
      heartbeat("strong" + i, i, LARGE_NODE_CORES);
    }
    for (int i = 0; i < SMALL_NODES; i++) {
      heartbeat("weak" + i, 100 + i, SMALL_NODE_CORES);
    }
  }

  @Test
  void largeNodesAreTheFirstCandidatesForARun() {
    sendAllHeartbeats();
    for (int key = 0; key < 200; key++) {
      for (int i = 0; i < LARGE_NODES; i++) {
        assertThat(table.rankForKey("run" + key, "strong" + i), lessThan(LARGE_NODES));
      }
    }
  }

  @Test
  void dutiesGoToTheMostRecentlyStartedLargeNode() {
    sendAllHeartbeats();
    assertThat(table.rankByStartTime("strong" + (LARGE_NODES - 1)), equalTo(0));
    assertThat(table.rankByStartTime("weak" + (SMALL_NODES - 1)), equalTo(LARGE_NODES));
  }

  @Test
  void callersAreSentToLargeNodesIfThereAreEnough() {
    sendAllHeartbeats();
    List<String> addresses = table.addressesFor("z", 2, 64);
    assertThat(addresses, hasSize(6));
    assertThat(addresses, everyItem(startsWith("strong")));
  }

  @Test
  void aFewVeryLargeMachinesDoNotGetAllWork() {
    for (int i = 0; i < 2; i++) {
      heartbeat("large" + i, 1, 16);
    }
    for (int i = 0; i < 10; i++) {
      heartbeat("usual" + i, 1, 2);
    }
    LargeNodes largeNodes = LargeNodes.among(table.acceptingNodes());
    assertThat(table.acceptingNodes().stream().allMatch(largeNodes::contains), is(true));
  }

  @Test
  void equalMachinesRankAsMachinesWithUnknownSize() {
    HeartbeatTable withoutCores = new HeartbeatTable(1_600);
    for (int i = 0; i < 12; i++) {
      heartbeat("n" + i, 1, LARGE_NODE_CORES);
      withoutCores.onHeartbeat(new MemberBeat("n" + i, "n:1", "z", 1, true, 0, 500, 0, 0), 1_000);
    }
    for (int key = 0; key < 100; key++) {
      for (int i = 0; i < 12; i++) {
        assertThat(
            table.rankForKey("run" + key, "n" + i),
            equalTo(withoutCores.rankForKey("run" + key, "n" + i)));
      }
    }
  }
}
