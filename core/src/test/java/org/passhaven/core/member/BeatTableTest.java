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

class BeatTableTest {
  private final BeatTable table = new BeatTable(1_500);

  private static MemberBeat beat(String node, String zone, long incarnation, boolean taking) {
    return new MemberBeat(node, node + ":1", zone, incarnation, taking, 0, 0, 0, 0);
  }

  @Test
  void aNodeThatIsSilentWhileOthersBeatIsDead() {
    table.onBeat(beat("a", "z", 1, true), 0);
    table.onBeat(beat("b", "z", 1, true), 1_400);
    assertThat(table.isTaking("a"), is(true));
    table.onBeat(beat("b", "z", 1, true), 1_500);
    assertThat(table.isTaking("a"), is(false));
  }

  @Test
  void aNodeWhoseBeatsAreFarApartIsDeadOnlyWhenSeveralAreMissing() {
    table.onBeat(new MemberBeat("a", "a:1", "z", 1, true, 0, 1_000, 0, 0), 0);
    table.onBeat(beat("b", "z", 1, true), 3_100);
    assertThat(table.isTaking("a"), is(true));
    table.onBeat(beat("b", "z", 1, true), 3_200);
    assertThat(table.isTaking("a"), is(false));
  }

  @Test
  void aNodeThatBeatsMoreOftenThanBeforeIsDeadSooner() {
    table.onBeat(new MemberBeat("a", "a:1", "z", 1, true, 0, 1_000, 0, 0), 0);
    table.onBeat(new MemberBeat("a", "a:1", "z", 1, true, 0, 400, 0, 0), 100);
    table.onBeat(beat("b", "z", 1, true), 1_600);
    assertThat(table.isTaking("a"), is(false));
  }

  private static MemberBeat busyBeat(String node, long incarnation) {
    return freshBeat(node, incarnation, 60_000);
  }

  private static MemberBeat freshBeat(String node, long incarnation, long inLogMillis) {
    return new MemberBeat(node, node + ":1", "z", incarnation, true, 0, 500, 0, inLogMillis);
  }

  private void hearBusy(int nodes) {
    for (int i = 0; i < nodes; i++) {
      table.onBeat(busyBeat("n" + i, 1), 1_000);
    }
  }

  @Test
  void aFleetIsLostIfHardlyAnyOfItsNodesBeatsAgain() {
    hearBusy(20);
    table.onBeat(freshBeat("self", 9, 1), 1_000);
    assertThat(table.isFleetLost(), is(false));
    table.onBeat(freshBeat("self", 9, 500), 1_510);
    assertThat(table.isFleetLost(), is(false));
    table.onBeat(freshBeat("self", 9, 501), 1_510);
    assertThat(table.isFleetLost(), is(true));
    for (int i = 0; i < 4; i++) {
      table.onBeat(busyBeat("n" + i, 1), 1_520);
    }
    assertThat(table.isFleetLost(), is(true));
    table.onBeat(busyBeat("n4", 1), 1_530);
    assertThat(table.isFleetLost(), is(false));
  }

  @Test
  void aLossShowsAtOnceToWhoStartsBehindOthersThatAreBack() {
    hearBusy(20);
    table.onBeat(freshBeat("first", 9, 1), 1_000);
    for (int i = 0; i < 10; i++) {
      table.onBeat(freshBeat("n" + i, 2, 1), 1_000);
    }
    table.onBeat(freshBeat("first", 9, 520), 1_000);
    table.onBeat(freshBeat("self", 9, 1), 1_000);
    assertThat(table.isFleetLost(), is(true));
    table.forgetLost();
    assertThat(table.isTaking("first"), is(true));
    assertThat(table.isTaking("n3", 2), is(true));
    assertThat(table.isTaking("n13"), is(false));
  }

  @Test
  void nodesThatCameBackTogetherSayNothingOfThoseWhoWereLost() {
    hearBusy(20);
    for (int i = 0; i < 18; i++) {
      table.onBeat(freshBeat("back" + i, 9, 1), 1_000);
    }
    table.onBeat(freshBeat("self", 9, 1), 1_000);
    for (int i = 0; i < 18; i++) {
      table.onBeat(freshBeat("back" + i, 9, 501), 1_510);
    }
    assertThat(table.isFleetLost(), is(true));
    table.forgetLost();
    assertThat(table.taking(), hasSize(19));
  }

  @Test
  void ofFewNodesNoLossCanShow() {
    hearBusy(4);
    assertThat(table.isLossDetectable(), is(false));
    table.onBeat(freshBeat("self", 9, 1), 1_000);
    assertThat(table.isLossDetectable(), is(true));
  }

  @Test
  void timeThatTheLogNeedsForABeatIsNoSilence() {
    hearBusy(20);
    table.onBeat(freshBeat("self", 9, 1), 1_000);
    // Its write took long, so the next one was written right after it.
    table.onBeat(freshBeat("self", 9, 20), 4_000);
    assertThat(table.isFleetLost(), is(false));
  }

  @Test
  void aStartWhoseFirstBeatWasNotReadTellsNoTime() {
    hearBusy(20);
    table.onBeat(freshBeat("other", 9, 300), 1_000);
    table.onBeat(freshBeat("other", 9, 900), 1_000);
    assertThat(table.isFleetLost(), is(false));
  }

  @Test
  void beatsThatWerePassedOverMayBeThoseOfLiveNodes() {
    hearBusy(20);
    table.onBeat(freshBeat("self", 9, 1), 1_000);
    table.onGap();
    table.onBeat(freshBeat("self", 9, 501), 1_510);
    assertThat(table.isFleetLost(), is(false));
  }

  @Test
  void nodesThatLeftAreNotMissed() {
    for (int i = 0; i < 20; i++) {
      table.onBeat(new MemberBeat("n" + i, "n:1", "z", 1, false, 0, 500, 0, 60_000), 1_000);
    }
    table.onBeat(freshBeat("self", 9, 1), 1_000);
    table.onBeat(freshBeat("self", 9, 501), 1_510);
    assertThat(table.isFleetLost(), is(false));
  }

  @Test
  void nodesWhoseNextBeatIsNotDueSayNothing() {
    for (int i = 0; i < 20; i++) {
      table.onBeat(new MemberBeat("n" + i, "n:1", "z", 1, true, 0, 4_000, 0, 60_000), 1_000);
    }
    table.onBeat(freshBeat("self", 9, 1), 1_000);
    table.onBeat(freshBeat("self", 9, 1_001), 2_000);
    assertThat(table.isFleetLost(), is(false));
  }

  @Test
  void nodesThatAreNotDueYetButBeatAgainAreASignOfLife() {
    // A third of the fleet is restarted, fails while it is fresh, and is restarted again.
    for (int i = 0; i < 20; i++) {
      table.onBeat(idleBeat("n" + i), 1_000);
    }
    for (int i = 0; i < 10; i++) {
      table.onBeat(freshBeat("again" + i, 2, 1_500), 1_000);
    }
    table.onBeat(freshBeat("again0", 3, 1), 1_000);
    for (int i = 0; i < 10; i++) {
      table.onBeat(idleBeat("n" + i), 1_400);
    }
    table.onBeat(freshBeat("again0", 3, 501), 1_510);
    assertThat(table.isFleetLost(), is(false));
  }

  private static MemberBeat idleBeat(String node) {
    return new MemberBeat(node, node + ":1", "z", 1, true, 0, 1_000, 0, 60_000);
  }

  @Test
  void afterALossNodesThatWereStartedAnewAreNoSignOfLife() {
    hearBusy(6);
    table.onBeat(freshBeat("self", 9, 1), 1_000);
    for (int i = 0; i < 3; i++) {
      table.onBeat(busyBeat("n" + i, 2), 1_400);
    }
    table.onBeat(freshBeat("self", 9, 501), 1_510);
    assertThat(table.isFleetLost(), is(true));
    table.forgetLost();
    assertThat(
        table.taking().stream().map(MemberBeat::node).toList(),
        containsInAnyOrder("n0", "n1", "n2", "self"));
  }

  @Test
  void inAFleetThatHasJustStartedThoseWhoAreBackFirstComeFirst() {
    table.onBeat(freshBeat("self", 9, 1), 1_510);
    for (int i = 0; i < 20; i++) {
      table.onBeat(freshBeat("late" + i, 2, 1), 1_600 + i);
    }
    // Old nodes that are still believed alive change nothing while they are few.
    table.onBeat(busyBeat("old", 1), 1_700);
    for (int key = 0; key < 20; key++) {
      assertThat(table.rankOf("key" + key, "self") < 8, is(true));
      assertThat(table.rankOf("key" + key, "late19") < 8, is(false));
      assertThat(table.rankOf("key" + key, "old") < 8, is(false));
    }
    for (int i = 0; i < 20; i++) {
      table.onBeat(freshBeat("late" + i, 2, 5_000), 6_000);
    }
    assertThat(isEverFirst("late19"), is(true));
  }

  @Test
  void inAFleetThatGoesOnAFreshNodeIsACandidateAsAnyOther() {
    hearBusy(20);
    table.onBeat(freshBeat("self", 9, 1), 1_000);
    assertThat(isEverFirst("n7"), is(true));
    assertThat(isEverFirst("self"), is(true));
  }

  private boolean isEverFirst(String node) {
    for (int key = 0; key < 200; key++) {
      if (table.rankOf("key" + key, node) == 0) {
        return true;
      }
    }
    return false;
  }

  @Test
  void aLogThatIsDownMakesNobodyDead() {
    table.onBeat(beat("a", "z", 1, true), 0);
    table.onBeat(beat("b", "z", 1, true), 100);
    // Nothing is read for a minute, then the first beat of one node.
    table.onBeat(beat("a", "z", 1, true), 60_000);
    assertThat(table.isTaking("a"), is(true));
  }

  @Test
  void aLeavingNodeTakesNothing() {
    table.onBeat(beat("a", "z", 1, true), 0);
    table.onBeat(beat("a", "z", 1, false), 10);
    assertThat(table.taking(), hasSize(0));
  }

  private List<String> addressesUnderLoad(double perSecondEach) {
    for (int i = 0; i < 20; i++) {
      String node = "n" + i;
      table.onBeat(new MemberBeat(node, node, "z", 1, true, perSecondEach, 0, 0, 0), 0);
    }
    return table.addressesFor("z", 2, 64);
  }

  @Test
  void callersAreToldAsManyNodesAsTheirLoadNeedsAndTheSameOnesEachTime() {
    List<String> quiet = addressesUnderLoad(0.5);
    assertThat(quiet, hasSize(6));
    assertThat(addressesUnderLoad(0.5), equalTo(quiet));
    List<String> busy = addressesUnderLoad(7.5);
    assertThat(busy, hasSize(10));
    assertThat(busy.subList(0, 6), equalTo(quiet));
    assertThat(addressesUnderLoad(40), hasSize(20));
  }

  @Test
  void aNodeThatCallersAreToldAndThatFallsSilentIsReplaced() {
    List<String> before = addressesUnderLoad(0.5);
    for (int i = 0; i < 20; i++) {
      String node = "n" + i;
      if (!node.equals(before.get(0))) {
        table.onBeat(new MemberBeat(node, node, "z", 1, true, 0.5, 0, 0, 0), 2_000);
      }
    }
    List<String> after = table.addressesFor("z", 2, 64);
    assertThat(after, hasSize(6));
    assertThat(after.subList(0, 5), equalTo(before.subList(1, 6)));
  }

  @Test
  void aStartIsOverOnceItLeavesOrAnotherStartBeats() {
    assertThat(table.isOver("a", 1), is(false));
    table.onBeat(beat("a", "z", 1, true), 0);
    assertThat(table.isOver("a", 1), is(false));
    table.onBeat(beat("a", "z", 1, false), 10);
    assertThat(table.isOver("a", 1), is(true));
    table.onBeat(beat("a", "z", 2, true), 20);
    assertThat(table.isOver("a", 1), is(true));
    assertThat(table.isOver("a", 2), is(false));
  }

  @Test
  void aLateBeatOfAnEarlierStartChangesNothing() {
    table.onBeat(beat("a", "z", 2, true), 0);
    table.onBeat(beat("a", "z", 1, false), 10);
    assertThat(table.isTaking("a"), is(true));
  }

  @Test
  void aStartWithAnEarlierClockReplacesASilentOne() {
    table.onBeat(beat("a", "z", 9, true), 0);
    table.onBeat(beat("b", "z", 1, true), 2_000);
    table.onBeat(beat("a", "z", 3, false), 2_001);
    table.onBeat(beat("a", "z", 3, true), 2_002);
    assertThat(table.isTaking("a"), is(true));
  }

  @Test
  void callersGetNodesOfTheirZoneIfThereAreEnough() {
    table.onBeat(beat("a", "z", 1, true), 0);
    table.onBeat(beat("b", "z", 1, true), 0);
    table.onBeat(beat("c", "y", 1, true), 0);
    assertThat(table.addressesFor("z", 2, 64), containsInAnyOrder("a:1", "b:1"));
    assertThat(table.addressesFor("y", 2, 64), containsInAnyOrder("a:1", "b:1", "c:1"));
  }

  @Test
  void theYoungestNodeRanksFirst() {
    table.onBeat(beat("a", "z", 3, true), 0);
    table.onBeat(beat("b", "z", 9, true), 0);
    assertThat(table.rankByYouth("b"), is(0));
    assertThat(table.rankByYouth("a"), is(1));
    assertThat(table.rankByYouth("c"), is(2));
  }

  @Test
  void aNodeThatLeavesPassesItsRankOn() {
    table.onBeat(beat("a", "z", 1, true), 0);
    table.onBeat(beat("b", "z", 1, true), 0);
    table.onBeat(beat("c", "z", 1, true), 0);
    List<String> byRank =
        table.taking().stream()
            .map(MemberBeat::node)
            .sorted(Comparator.comparing(node -> table.rankOf("run/m", node)))
            .toList();
    table.onBeat(beat(byRank.get(0), "z", 1, false), 10);
    assertThat(table.rankOf("run/m", byRank.get(1)), is(0));
    assertThat(table.rankOf("run/m", byRank.get(2)), is(1));
  }
}
