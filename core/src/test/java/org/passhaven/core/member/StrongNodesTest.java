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

/** A fleet of a few large and many small machines: work that one node does goes to large ones. */
class StrongNodesTest {
  private static final int STRONG = 20;
  private static final int WEAK = 60;
  private static final double STRONG_CORES = 1.5;
  private static final double WEAK_CORES = 0.36;
  private final BeatTable table = new BeatTable(1_600);

  private void beat(String node, long incarnation, double cores) {
    MemberBeat beat = new MemberBeat(node, node + ":1", "z", incarnation, true, 0, 500, cores, 0);
    table.onBeat(beat, 1_000);
  }

  private void beatAll() {
    for (int i = 0; i < STRONG; i++) {
      beat("strong" + i, i, STRONG_CORES);
    }
    for (int i = 0; i < WEAK; i++) {
      beat("weak" + i, 100 + i, WEAK_CORES);
    }
  }

  @Test
  void aRunsFirstCandidatesAreStrongAndAWeakNodeFollowsTheLastOfThem() {
    beatAll();
    for (int key = 0; key < 200; key++) {
      for (int i = 0; i < STRONG; i++) {
        assertThat(table.rankOf("run" + key, "strong" + i), lessThan(STRONG));
      }
    }
  }

  @Test
  void dutiesGoToTheYoungestStrongNode() {
    beatAll();
    assertThat(table.rankByYouth("strong" + (STRONG - 1)), equalTo(0));
    assertThat(table.rankByYouth("weak" + (WEAK - 1)), equalTo(STRONG));
  }

  @Test
  void callersAreSentToStrongNodesAsLongAsTheyAreEnough() {
    beatAll();
    List<String> named = table.addressesFor("z", 2, 64);
    assertThat(named, hasSize(6));
    assertThat(named, everyItem(startsWith("strong")));
  }

  @Test
  void aFewLargeMachinesDoNotDrawAllWork() {
    for (int i = 0; i < 2; i++) {
      beat("large" + i, 1, 16);
    }
    for (int i = 0; i < 10; i++) {
      beat("usual" + i, 1, 2);
    }
    StrongNodes strong = StrongNodes.among(table.taking());
    assertThat(table.taking().stream().allMatch(strong::contains), is(true));
  }

  @Test
  void whereMachinesAreEqualOrSayNothingTheOrderIsAsWithoutThem() {
    BeatTable silent = new BeatTable(1_600);
    for (int i = 0; i < 12; i++) {
      beat("n" + i, 1, STRONG_CORES);
      silent.onBeat(new MemberBeat("n" + i, "n:1", "z", 1, true, 0, 500, 0, 0), 1_000);
    }
    for (int key = 0; key < 100; key++) {
      for (int i = 0; i < 12; i++) {
        assertThat(
            table.rankOf("run" + key, "n" + i), equalTo(silent.rankOf("run" + key, "n" + i)));
      }
    }
  }
}
