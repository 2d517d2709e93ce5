package org.passhaven.core.member;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.passhaven.protocol.member.MemberBeat;

class HeartbeatTableTest {
  private final HeartbeatTable table = new HeartbeatTable(1_500);

  private static MemberBeat heartbeat(
      String node, String zone, long incarnation, boolean isAccepting) {
    return new MemberBeat(node, node + ":1", zone, incarnation, isAccepting, 0, 0, 0, 0);
  }

  @Test
  void aNodeThatIsSilentWhileOthersSendHeartbeatsIsDead() {
    table.onHeartbeat(heartbeat("a", "z", 1, true), 0);
    table.onHeartbeat(heartbeat("b", "z", 1, true), 1_400);
    assertThat(table.isAccepting("a"), is(true));
    table.onHeartbeat(heartbeat("b", "z", 1, true), 1_500);
    assertThat(table.isAccepting("a"), is(false));
  }

  @Test
  void aNodeWithALongIntervalIsDeadOnlyAfterSeveralMissingHeartbeats() {
    table.onHeartbeat(new MemberBeat("a", "a:1", "z", 1, true, 0, 1_000, 0, 0), 0);
    table.onHeartbeat(heartbeat("b", "z", 1, true), 3_100);
    assertThat(table.isAccepting("a"), is(true));
    table.onHeartbeat(heartbeat("b", "z", 1, true), 3_200);
    assertThat(table.isAccepting("a"), is(false));
  }

  @Test
  void aNodeThatShortensItsIntervalIsDeadSooner() {
    table.onHeartbeat(new MemberBeat("a", "a:1", "z", 1, true, 0, 1_000, 0, 0), 0);
    table.onHeartbeat(new MemberBeat("a", "a:1", "z", 1, true, 0, 400, 0, 0), 100);
    table.onHeartbeat(heartbeat("b", "z", 1, true), 1_600);
    assertThat(table.isAccepting("a"), is(false));
  }

  private static MemberBeat busyHeartbeat(String node, long incarnation) {
    return recentHeartbeat(node, incarnation, 60_000);
  }

  private static MemberBeat recentHeartbeat(String node, long incarnation, long inLogMillis) {
    return new MemberBeat(node, node + ":1", "z", incarnation, true, 0, 500, 0, inLogMillis);
  }

  private void receiveBusyHeartbeats(int nodes) {
    for (int i = 0; i < nodes; i++) {
      table.onHeartbeat(busyHeartbeat("n" + i, 1), 1_000);
    }
  }

  @Test
  void aFleetIsLostIfHardlyAnyNodeSendsAnotherHeartbeat() {
    receiveBusyHeartbeats(20);
    table.onHeartbeat(recentHeartbeat("self", 9, 1), 1_000);
    assertThat(table.isFleetLost(), is(false));
    table.onHeartbeat(recentHeartbeat("self", 9, 500), 1_510);
    assertThat(table.isFleetLost(), is(false));
    table.onHeartbeat(recentHeartbeat("self", 9, 501), 1_510);
    assertThat(table.isFleetLost(), is(true));
    for (int i = 0; i < 4; i++) {
      table.onHeartbeat(busyHeartbeat("n" + i, 1), 1_520);
    }
    assertThat(table.isFleetLost(), is(true));
    table.onHeartbeat(busyHeartbeat("n4", 1), 1_530);
    assertThat(table.isFleetLost(), is(false));
  }

  @Test
  void aLossIsDetectedAtOnceByANodeThatStartsAfterOthers() {
    receiveBusyHeartbeats(20);
    table.onHeartbeat(recentHeartbeat("first", 9, 1), 1_000);
    for (int i = 0; i < 10; i++) {
      table.onHeartbeat(recentHeartbeat("n" + i, 2, 1), 1_000);
    }
    table.onHeartbeat(recentHeartbeat("first", 9, 520), 1_000);
    table.onHeartbeat(recentHeartbeat("self", 9, 1), 1_000);
    assertThat(table.isFleetLost(), is(true));
    table.removeLostNodes();
    assertThat(table.isAccepting("first"), is(true));
    assertThat(table.isAccepting("n3", 2), is(true));
    assertThat(table.isAccepting("n13"), is(false));
  }

  @Test
  void nodesThatRestartTogetherDoNotHideTheLoss() {
    receiveBusyHeartbeats(20);
    for (int i = 0; i < 18; i++) {
      table.onHeartbeat(recentHeartbeat("back" + i, 9, 1), 1_000);
    }
    table.onHeartbeat(recentHeartbeat("self", 9, 1), 1_000);
    for (int i = 0; i < 18; i++) {
      table.onHeartbeat(recentHeartbeat("back" + i, 9, 501), 1_510);
    }
    assertThat(table.isFleetLost(), is(true));
    table.removeLostNodes();
    assertThat(table.acceptingNodes(), hasSize(19));
  }

  @Test
  void theLossOfFewNodesIsNotDetectable() {
    receiveBusyHeartbeats(4);
    assertThat(table.isLossDetectable(), is(false));
    table.onHeartbeat(recentHeartbeat("self", 9, 1), 1_000);
    assertThat(table.isLossDetectable(), is(true));
  }

  @Test
  void aSlowWriteOfAHeartbeatIsNotCountedAsSilence() {
    receiveBusyHeartbeats(20);
    table.onHeartbeat(recentHeartbeat("self", 9, 1), 1_000);
    // The write took long, so the next one was written right after it.
    table.onHeartbeat(recentHeartbeat("self", 9, 20), 4_000);
    assertThat(table.isFleetLost(), is(false));
  }

  @Test
  void anIncarnationWithoutItsFirstHeartbeatIsIgnored() {
    receiveBusyHeartbeats(20);
    table.onHeartbeat(recentHeartbeat("other", 9, 300), 1_000);
    table.onHeartbeat(recentHeartbeat("other", 9, 900), 1_000);
    assertThat(table.isFleetLost(), is(false));
  }

  @Test
  void noLossIsDetectedAfterSkippedHeartbeats() {
    receiveBusyHeartbeats(20);
    table.onHeartbeat(recentHeartbeat("self", 9, 1), 1_000);
    table.onGap();
    table.onHeartbeat(recentHeartbeat("self", 9, 501), 1_510);
    assertThat(table.isFleetLost(), is(false));
  }

  @Test
  void leavingNodesDoNotCountAsLost() {
    for (int i = 0; i < 20; i++) {
      table.onHeartbeat(new MemberBeat("n" + i, "n:1", "z", 1, false, 0, 500, 0, 60_000), 1_000);
    }
    table.onHeartbeat(recentHeartbeat("self", 9, 1), 1_000);
    table.onHeartbeat(recentHeartbeat("self", 9, 501), 1_510);
    assertThat(table.isFleetLost(), is(false));
  }

  @Test
  void nodesWithoutADueHeartbeatDoNotCountAsLost() {
    for (int i = 0; i < 20; i++) {
      table.onHeartbeat(new MemberBeat("n" + i, "n:1", "z", 1, true, 0, 4_000, 0, 60_000), 1_000);
    }
    table.onHeartbeat(recentHeartbeat("self", 9, 1), 1_000);
    table.onHeartbeat(recentHeartbeat("self", 9, 1_001), 2_000);
    assertThat(table.isFleetLost(), is(false));
  }

  @Test
  void heartbeatsBeforeTheyAreDueShowThatTheFleetIsAlive() {
    // A third of the fleet is restarted, fails soon after, and is restarted again.
    for (int i = 0; i < 20; i++) {
      table.onHeartbeat(idleHeartbeat("n" + i), 1_000);
    }
    for (int i = 0; i < 10; i++) {
      table.onHeartbeat(recentHeartbeat("again" + i, 2, 1_500), 1_000);
    }
    table.onHeartbeat(recentHeartbeat("again0", 3, 1), 1_000);
    for (int i = 0; i < 10; i++) {
      table.onHeartbeat(idleHeartbeat("n" + i), 1_400);
    }
    table.onHeartbeat(recentHeartbeat("again0", 3, 501), 1_510);
    assertThat(table.isFleetLost(), is(false));
  }

  private static MemberBeat idleHeartbeat(String node) {
    return new MemberBeat(node, node + ":1", "z", 1, true, 0, 1_000, 0, 60_000);
  }

  @Test
  void restartedNodesDoNotHideALoss() {
    receiveBusyHeartbeats(6);
    table.onHeartbeat(recentHeartbeat("self", 9, 1), 1_000);
    for (int i = 0; i < 3; i++) {
      table.onHeartbeat(busyHeartbeat("n" + i, 2), 1_400);
    }
    table.onHeartbeat(recentHeartbeat("self", 9, 501), 1_510);
    assertThat(table.isFleetLost(), is(true));
    table.removeLostNodes();
    assertThat(
        table.acceptingNodes().stream().map(MemberBeat::node).toList(),
        containsInAnyOrder("n0", "n1", "n2", "self"));
  }

  @Test
  void inARecentlyStartedFleetTheEarliestNodesRankFirst() {
    table.onHeartbeat(recentHeartbeat("self", 9, 1), 1_510);
    for (int i = 0; i < 20; i++) {
      table.onHeartbeat(recentHeartbeat("late" + i, 2, 1), 1_600 + i);
    }
    // Old nodes that still count as alive change nothing while they are few.
    table.onHeartbeat(busyHeartbeat("old", 1), 1_700);
    for (int key = 0; key < 20; key++) {
      assertThat(table.rankForKey("key" + key, "self") < 8, is(true));
      assertThat(table.rankForKey("key" + key, "late19") < 8, is(false));
      assertThat(table.rankForKey("key" + key, "old") < 8, is(false));
    }
    for (int i = 0; i < 20; i++) {
      table.onHeartbeat(recentHeartbeat("late" + i, 2, 5_000), 6_000);
    }
    assertThat(isEverFirst("late19"), is(true));
  }

  @Test
  void inARunningFleetARecentlyStartedNodeRanksAsAnyOther() {
    receiveBusyHeartbeats(20);
    table.onHeartbeat(recentHeartbeat("self", 9, 1), 1_000);
    assertThat(isEverFirst("n7"), is(true));
    assertThat(isEverFirst("self"), is(true));
  }

  private boolean isEverFirst(String node) {
    for (int key = 0; key < 200; key++) {
      if (table.rankForKey("key" + key, node) == 0) {
        return true;
      }
    }
    return false;
  }

  @Test
  void noNodeIsDeadBecauseTheLogWasDown() {
    table.onHeartbeat(heartbeat("a", "z", 1, true), 0);
    table.onHeartbeat(heartbeat("b", "z", 1, true), 100);
    // Nothing is read for a minute, then the first heartbeat of one node.
    table.onHeartbeat(heartbeat("a", "z", 1, true), 60_000);
    assertThat(table.isAccepting("a"), is(true));
  }

  @Test
  void aLeavingNodeAcceptsNoWork() {
    table.onHeartbeat(heartbeat("a", "z", 1, true), 0);
    table.onHeartbeat(heartbeat("a", "z", 1, false), 10);
    assertThat(table.acceptingNodes(), hasSize(0));
  }

  private List<String> addressesUnderLoad(double requestsPerSecondEach) {
    for (int i = 0; i < 20; i++) {
      String node = "n" + i;
      table.onHeartbeat(
          new MemberBeat(node, node, "z", 1, true, requestsPerSecondEach, 0, 0, 0), 0);
    }
    return table.addressesFor("z", 2, 64);
  }

  @Test
  void callersGetAsManyNodesAsTheirLoadNeedsAndTheSameOnesEachTime() {
    List<String> quiet = addressesUnderLoad(0.5);
    assertThat(quiet, hasSize(6));
    assertThat(addressesUnderLoad(0.5), equalTo(quiet));
    List<String> busy = addressesUnderLoad(7.5);
    assertThat(busy, hasSize(10));
    assertThat(busy.subList(0, 6), equalTo(quiet));
    assertThat(addressesUnderLoad(40), hasSize(20));
  }

  @Test
  void aSilentNodeIsReplacedInTheAddressesForCallers() {
    List<String> before = addressesUnderLoad(0.5);
    for (int i = 0; i < 20; i++) {
      String node = "n" + i;
      if (!node.equals(before.get(0))) {
        table.onHeartbeat(new MemberBeat(node, node, "z", 1, true, 0.5, 0, 0, 0), 2_000);
      }
    }
    List<String> after = table.addressesFor("z", 2, 64);
    assertThat(after, hasSize(6));
    assertThat(after.subList(0, 5), equalTo(before.subList(1, 6)));
  }

  @Test
  void anIncarnationHasEndedOnceItLeavesOrIsReplaced() {
    assertThat(table.hasEnded("a", 1), is(false));
    table.onHeartbeat(heartbeat("a", "z", 1, true), 0);
    assertThat(table.hasEnded("a", 1), is(false));
    table.onHeartbeat(heartbeat("a", "z", 1, false), 10);
    assertThat(table.hasEnded("a", 1), is(true));
    table.onHeartbeat(heartbeat("a", "z", 2, true), 20);
    assertThat(table.hasEnded("a", 1), is(true));
    assertThat(table.hasEnded("a", 2), is(false));
  }

  @Test
  void aLateHeartbeatOfAnEarlierIncarnationIsIgnored() {
    table.onHeartbeat(heartbeat("a", "z", 2, true), 0);
    table.onHeartbeat(heartbeat("a", "z", 1, false), 10);
    assertThat(table.isAccepting("a"), is(true));
  }

  @Test
  void aSilentIncarnationIsReplacedByOneWithALowerNumber() {
    table.onHeartbeat(heartbeat("a", "z", 9, true), 0);
    table.onHeartbeat(heartbeat("b", "z", 1, true), 2_000);
    table.onHeartbeat(heartbeat("a", "z", 3, false), 2_001);
    table.onHeartbeat(heartbeat("a", "z", 3, true), 2_002);
    assertThat(table.isAccepting("a"), is(true));
  }

  @Test
  void callersGetNodesOfTheirZoneIfThereAreEnough() {
    table.onHeartbeat(heartbeat("a", "z", 1, true), 0);
    table.onHeartbeat(heartbeat("b", "z", 1, true), 0);
    table.onHeartbeat(heartbeat("c", "y", 1, true), 0);
    assertThat(table.addressesFor("z", 2, 64), containsInAnyOrder("a:1", "b:1"));
    assertThat(table.addressesFor("y", 2, 64), containsInAnyOrder("a:1", "b:1", "c:1"));
  }

  @Test
  void theMostRecentlyStartedNodeRanksFirst() {
    table.onHeartbeat(heartbeat("a", "z", 3, true), 0);
    table.onHeartbeat(heartbeat("b", "z", 9, true), 0);
    assertThat(table.rankByStartTime("b"), is(0));
    assertThat(table.rankByStartTime("a"), is(1));
    assertThat(table.rankByStartTime("c"), is(2));
  }

  @Test
  void aLeavingNodeIsReplacedByTheNextRank() {
    table.onHeartbeat(heartbeat("a", "z", 1, true), 0);
    table.onHeartbeat(heartbeat("b", "z", 1, true), 0);
    table.onHeartbeat(heartbeat("c", "z", 1, true), 0);
    List<String> byRank =
        table.acceptingNodes().stream()
            .map(MemberBeat::node)
            .sorted(Comparator.comparing(node -> table.rankForKey("run/m", node)))
            .toList();
    table.onHeartbeat(heartbeat(byRank.get(0), "z", 1, false), 10);
    assertThat(table.rankForKey("run/m", byRank.get(1)), is(0));
    assertThat(table.rankForKey("run/m", byRank.get(2)), is(1));
  }
}
