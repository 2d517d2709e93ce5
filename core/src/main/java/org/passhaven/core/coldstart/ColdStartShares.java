package org.passhaven.core.coldstart;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.function.ToDoubleFunction;
import org.passhaven.protocol.member.MemberBeat;

/**
 * This node's shares of the fleet's work, derived from the heartbeats of all nodes as read from the
 * log. A lower share is in force at once and a higher one only after a delay, by which the other
 * nodes have read of it too, so that the shares in force at all nodes add up to at most one. Times
 * are in monotonic milliseconds. Not thread-safe.
 */
public final class ColdStartShares {
  /** Longer than a node's view of the heartbeats is behind the log while it counts as current. */
  static final long RAISE_DELAY_MILLIS = 2_000;

  /** Limits the nodes that may each have a turn at the same moment. */
  private static final int MAX_NODES = 8;

  private final String node;
  private final MinimumOverTime shareOfRuns = new MinimumOverTime(RAISE_DELAY_MILLIS);
  private final MinimumOverTime shareOfRequests = new MinimumOverTime(RAISE_DELAY_MILLIS);

  /** Creates the shares of a node, which are zero until heartbeats were read for a while. */
  public ColdStartShares(String node) {
    this.node = Objects.requireNonNull(node, "node");
  }

  /**
   * Handles a new view of the heartbeats.
   *
   * @param live newest heartbeat of each live node, this one included
   */
  public void onHeartbeats(List<MemberBeat> live, long nowMillis) {
    shareOfRuns.record(shareBy(MemberBeat::ownedRuns, live), nowMillis);
    shareOfRequests.record(shareBy(MemberBeat::requestsPerSecond, live), nowMillis);
  }

  /** Returns this node's share among the nodes of greatest weight; zero for all others. */
  private double shareBy(ToDoubleFunction<MemberBeat> weight, List<MemberBeat> live) {
    List<MemberBeat> sharing =
        live.stream()
            .filter(heartbeat -> weight.applyAsDouble(heartbeat) > 0)
            .sorted(Comparator.comparingDouble(weight).reversed().thenComparing(MemberBeat::node))
            .limit(MAX_NODES)
            .toList();
    double total = sharing.stream().mapToDouble(weight).sum();
    return sharing.stream()
        .filter(heartbeat -> heartbeat.node().equals(node))
        .mapToDouble(heartbeat -> weight.applyAsDouble(heartbeat) / total)
        .findFirst()
        .orElse(0);
  }

  /** Forgets all heartbeats, when it is unknown how old the view is. */
  public void clear() {
    shareOfRuns.clear();
    shareOfRequests.clear();
  }

  /** Returns the share of the runs that this node owns, from zero to one. */
  double ofRuns(long nowMillis) {
    return shareOfRuns.get(nowMillis);
  }

  /** Returns the share of the requests that this node forwards, from zero to one. */
  double ofRequests(long nowMillis) {
    return shareOfRequests.get(nowMillis);
  }
}
