package org.passhaven.core.member;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThan;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.passhaven.protocol.member.MemberBeat;

/** Guards against candidates for a run or the duty that are all lost with one zone. */
class SpreadCandidatesTest {
  private static final int ZONES = 3;
  private static final int LARGE_NODES_PER_ZONE = 4;
  private final HeartbeatTable table = fleet(true);

  /** Nodes of the last zone start last and so are the first candidates for the duty. */
  private static HeartbeatTable fleet(boolean spreadsOverZones) {
    HeartbeatTable table = new HeartbeatTable(1_500, spreadsOverZones);
    for (int zone = 0; zone < ZONES; zone++) {
      for (int i = 0; i < 2 * LARGE_NODES_PER_ZONE; i++) {
        double cores = i < LARGE_NODES_PER_ZONE ? 1.5 : 0.36;
        long incarnation = 100L * zone + i;
        table.onHeartbeat(
            new MemberBeat("n" + zone + i, "n:1", "z" + zone, incarnation, true, 0, 0, cores, 0),
            0);
      }
    }
    return table;
  }

  private static List<MemberBeat> ranked(HeartbeatTable nodes, ToIntFunction<String> rank) {
    return nodes.acceptingNodes().stream()
        .sorted(Comparator.comparing(heartbeat -> rank.applyAsInt(heartbeat.node())))
        .toList();
  }

  private static Set<String> firstZones(List<MemberBeat> ranked) {
    return ranked.subList(0, ZONES).stream().map(MemberBeat::zone).collect(Collectors.toSet());
  }

  private static void assertLargeFirst(List<MemberBeat> ranked) {
    assertThat(
        ranked.subList(0, ZONES * LARGE_NODES_PER_ZONE).stream()
            .allMatch(heartbeat -> heartbeat.cores() > 1),
        equalTo(true));
  }

  @Test
  void theFirstCandidatesForARunLieInDifferentZones() {
    HeartbeatTable notSpread = fleet(false);
    int together = 0;
    for (int key = 0; key < 100; key++) {
      String run = "run" + key;
      List<MemberBeat> ranked = ranked(table, node -> table.rankForKey(run, node));
      assertThat(firstZones(ranked), hasSize(ZONES));
      assertLargeFirst(ranked);
      List<MemberBeat> before = ranked(notSpread, node -> notSpread.rankForKey(run, node));
      assertThat("the owner stays", ranked.get(0), equalTo(before.get(0)));
      together += firstZones(before).size() < ZONES ? 1 : 0;
    }
    assertThat("runs whose candidates would share a zone", together, greaterThan(0));
  }

  @Test
  void theFirstCandidatesForTheDutyLieInDifferentZones() {
    List<MemberBeat> ranked = ranked(table, table::rankByStartTime);
    assertThat(firstZones(ranked), hasSize(ZONES));
    assertThat("the most recently started", ranked.get(0).node(), equalTo("n23"));
    assertLargeFirst(ranked);
    HeartbeatTable notSpread = fleet(false);
    assertThat(firstZones(ranked(notSpread, notSpread::rankByStartTime)).size(), lessThan(ZONES));
  }

  @Test
  void everyNodeHasARankOfItsOwn() {
    Set<Integer> ranks =
        table.acceptingNodes().stream()
            .map(heartbeat -> table.rankByStartTime(heartbeat.node()))
            .collect(Collectors.toSet());
    assertThat(ranks, hasSize(table.acceptingNodes().size()));
  }
}
