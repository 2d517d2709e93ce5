package org.passhaven.node.run;

import java.util.List;
import java.util.Optional;
import org.passhaven.core.placement.Member;
import org.passhaven.core.placement.Rendezvous;
import org.passhaven.protocol.MemberState;
import org.passhaven.protocol.ShardId;

/** Selects the live nodes that are candidates for owning a shard. */
final class ShardPlacement {
  private ShardPlacement() {}

  /** Returns up to {@code count} candidates by rank, spread over the zones. */
  static List<MemberState> candidates(ShardId shard, List<MemberState> alive, int count) {
    List<Member> members =
        alive.stream().map(state -> new Member(state.node().value(), state.zone())).toList();
    return Rendezvous.rankAcrossZones(shard.stream(), members, count).stream()
        .map(member -> find(alive, member.name()))
        .flatMap(Optional::stream)
        .toList();
  }

  private static Optional<MemberState> find(List<MemberState> alive, String name) {
    return alive.stream().filter(state -> state.node().value().equals(name)).findFirst();
  }
}
