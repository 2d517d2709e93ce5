package org.passhaven.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against uneven placement and unnecessary moves of keys. */
class RendezvousTest {
  private static final int KEYS = 4_000;

  private static List<Member> members(int zones, int perZone) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < zones * perZone; i++) {
      members.add(new Member("node-" + i, "zone-" + i % zones));
    }
    return members;
  }

  @Test
  void removingAMemberMovesOnlyItsOwnKeys() {
    List<Member> before = members(3, 4);
    List<Member> after = before.subList(1, before.size());
    int moved = 0;
    for (int key = 0; key < KEYS; key++) {
      Member owner = Rendezvous.rank("k" + key, before, 1).get(0);
      Member next = Rendezvous.rank("k" + key, after, 1).get(0);
      boolean own = owner.equals(before.get(0));
      assertThat("another member's key moved", own || owner.equals(next));
      moved += own ? 1 : 0;
    }
    assertThat("share of moved keys", moved, lessThan(KEYS / 12 * 2));
  }

  @Test
  void keysAreSpreadEvenly() {
    Map<String, Integer> counts = new HashMap<>();
    List<Member> members = members(3, 4);
    for (int key = 0; key < KEYS; key++) {
      counts.merge(Rendezvous.rank("k" + key, members, 1).get(0).name(), 1, Integer::sum);
    }
    int most = counts.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
    assertThat(counts.size(), equalTo(12));
    assertThat("fullest member", most, lessThan(KEYS / 12 * 13 / 10));
  }

  @Test
  void candidatesAreInDifferentZones() {
    for (int key = 0; key < 100; key++) {
      Set<String> zones = new HashSet<>();
      List<Member> chosen = Rendezvous.rankAcrossZones("k" + key, members(3, 4), 3);
      chosen.forEach(member -> zones.add(member.zone()));
      assertThat(chosen, hasSize(3));
      assertThat(zones, hasSize(3));
    }
  }

  @Test
  void moreCandidatesThanZonesAreFound() {
    assertThat(new HashSet<>(Rendezvous.rankAcrossZones("k", members(2, 2), 4)), hasSize(4));
  }

  @Test
  void eachMemberBelongsToExactlyOnePartition() {
    List<Member> members = members(3, 8);
    Set<Member> all = new HashSet<>();
    int sum = 0;
    for (int part = 0; part < 4; part++) {
      List<Member> own = Partition.membersOf(part, 4, members);
      sum += own.size();
      all.addAll(own);
    }
    assertThat(sum, equalTo(members.size()));
    assertThat(all, hasSize(members.size()));
  }
}
