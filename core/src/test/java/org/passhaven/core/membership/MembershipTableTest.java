package org.passhaven.core.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.not;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.passhaven.protocol.MemberState;
import org.passhaven.protocol.MemberState.Status;
import org.passhaven.protocol.NodeId;

class MembershipTableTest {
  private static final NodeId B = new NodeId("b");
  private final MembershipTable table =
      new MembershipTable(state("a", 1, 1, Status.ALIVE), MembershipSettings.DEFAULT, below -> 0);

  private static MemberState state(String node, long incarnation, long heartbeat, Status status) {
    return new MemberState(new NodeId(node), node + ":1", "z", incarnation, heartbeat, status, 0);
  }

  private List<NodeId> alive() {
    return table.alive().stream().map(MemberState::node).toList();
  }

  @Test
  void anUnreachableMemberIsSuspectedAndThenDead() {
    table.onMessage(state("b", 1, 5, Status.ALIVE), List.of(), 0);
    table.onUnreachable(B, 100);
    assertThat("a suspect still counts as alive", alive(), hasItem(B));
    table.onPeriod(100 + 5_000);
    assertThat(alive(), not(hasItem(B)));
  }

  @Test
  void aSuspectThatSendsAHigherHeartbeatIsAlive() {
    table.onMessage(state("b", 1, 5, Status.ALIVE), List.of(), 0);
    table.onUnreachable(B, 100);
    table.onMessage(state("b", 1, 6, Status.ALIVE), List.of(), 200);
    table.onPeriod(100 + 5_000);
    assertThat(alive(), hasItem(B));
  }

  @Test
  void aDeadMemberThatSendsAHeartbeatIsAliveAgain() {
    table.onMessage(state("b", 1, 5, Status.DEAD), List.of(), 0);
    table.onMessage(state("b", 1, 9, Status.ALIVE), List.of(), 10);
    assertThat(alive(), hasItem(B));
  }

  @Test
  void anUpdateOfAnEarlierIncarnationIsIgnored() {
    table.onMessage(state("b", 2, 1, Status.ALIVE), List.of(), 0);
    table.onMessage(state("c", 1, 1, Status.ALIVE), List.of(state("b", 1, 50, Status.DEAD)), 10);
    assertThat(alive(), hasItem(B));
  }

  @Test
  void suspicionOfThisNodeIsRefuted() {
    table.onMessage(state("b", 1, 1, Status.ALIVE), List.of(state("a", 1, 7, Status.SUSPECT)), 0);
    assertThat(table.self().heartbeat(), equalTo(8L));
    assertThat(
        table.takeUpdates().stream().map(MemberState::node).toList(), hasItem(new NodeId("a")));
  }

  @Test
  void anUpdateIsSentABoundedNumberOfTimes() {
    table.onMessage(state("b", 1, 1, Status.ALIVE), List.of(), 0);
    int sends = 0;
    for (int i = 0; i < 100; i++) {
      sends += table.takeUpdates().size();
    }
    assertThat(sends, equalTo(6));
  }

  @Test
  void aLeavingMemberAcceptsNoNewWork() {
    table.onMessage(state("b", 1, 2, Status.LEAVING), List.of(), 0);
    assertThat(alive(), not(hasItem(B)));
  }
}
