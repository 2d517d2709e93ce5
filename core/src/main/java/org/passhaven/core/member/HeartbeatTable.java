package org.passhaven.core.member;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.passhaven.core.placement.Member;
import org.passhaven.core.placement.Rendezvous;
import org.passhaven.core.topology.Topology;
import org.passhaven.protocol.member.MemberBeat;

/**
 * Live nodes, derived from their heartbeats. Ranks them as candidates for work, chooses the
 * addresses that callers use, and detects the loss of nearly the whole fleet. Each heartbeat states
 * the interval until the next one. Silence of a node is measured against the newest heartbeat of
 * any node, not against the clock, so that no node is declared dead because the log is down or this
 * reader can't reach it. Times are in monotonic milliseconds of the reader. Not thread-safe.
 */
public final class HeartbeatTable {
  private static final String CALLERS_KEY_PREFIX = "callers/";
  private static final int MIN_NODES_FOR_CALLERS = 6;

  /**
   * Number of heartbeat intervals of silence after which a node is dead: two missing heartbeats,
   * and a tolerance for the delay of the third.
   */
  private static final double MAX_SILENT_PERIODS = 3.2;

  private static final double REQUESTS_PER_SECOND_PER_NODE = 15;

  /**
   * Number of nodes that rank first in a fleet that has just started, in the order of their first
   * heartbeats. Nodes that start later, such as slow machines, would delay the work for which they
   * are the first candidates.
   */
  private static final int MAX_FIRST_NODES = 8;

  /**
   * Time after its start for which a node counts as recently started, longer than a lost fleet
   * takes to restart. Also the time for which a reader checks for the loss of the fleet.
   */
  private static final long RECENT_START_MILLIS = 5_000;

  /**
   * A fleet counts as recently started while at least this share of its nodes counts as recently
   * started.
   */
  private static final double RECENT_START_SHARE = 0.75;

  private final long silenceMillis;
  private final boolean spreadsOverZones;
  private final Map<String, LatestHeartbeat> members = new TreeMap<>();
  private final FleetLossDetector lossDetector = new FleetLossDetector();
  private int heartbeatsRead;
  private long startMillis = Long.MIN_VALUE;
  private long newestMillis = Long.MIN_VALUE;
  private List<MemberBeat> acceptingNodes;

  /**
   * The newest heartbeat of a node.
   *
   * @param firstPosition position in the log of the first heartbeat that was read of this
   *     incarnation
   * @param position position of this heartbeat in the log
   * @param atMillis time at which this heartbeat was read
   */
  private record LatestHeartbeat(
      MemberBeat heartbeat, int firstPosition, int position, long atMillis) {}

  /**
   * Creates a table.
   *
   * @param silenceMillis minimum silence after which a node is dead; longer for nodes with long
   *     heartbeat intervals
   */
  public HeartbeatTable(long silenceMillis) {
    this(silenceMillis, false);
  }

  /**
   * Creates a table.
   *
   * @param silenceMillis minimum silence after which a node is dead; longer for nodes with long
   *     heartbeat intervals
   * @param spreadsOverZones whether candidates for work are ranked with every zone used once before
   *     any zone is used again
   */
  public HeartbeatTable(long silenceMillis, boolean spreadsOverZones) {
    this.silenceMillis = silenceMillis;
    this.spreadsOverZones = spreadsOverZones;
  }

  /** Applies a heartbeat; heartbeats are passed in the order of the log. */
  public void onHeartbeat(MemberBeat heartbeat, long nowMillis) {
    Objects.requireNonNull(heartbeat, "heartbeat");
    if (startMillis == Long.MIN_VALUE) {
      startMillis = nowMillis;
    }
    newestMillis = Math.max(newestMillis, nowMillis);
    acceptingNodes = null;
    int position = heartbeatsRead++;
    if (newestMillis - startMillis < RECENT_START_MILLIS) {
      lossDetector.onHeartbeat(heartbeat, position);
    }
    LatestHeartbeat known = members.get(heartbeat.node());
    // If the clock was set back, a new incarnation may have a lower number; it replaces the old
    // one once that one is silent.
    boolean isSilent = known == null || isSilent(known);
    if (isSilent || heartbeat.incarnation() >= known.heartbeat().incarnation()) {
      boolean isSameIncarnation =
          known != null && known.heartbeat().nodeIncarnation().equals(heartbeat.nodeIncarnation());
      int firstPosition = isSameIncarnation ? known.firstPosition() : position;
      members.put(
          heartbeat.node(), new LatestHeartbeat(heartbeat, firstPosition, position, nowMillis));
    }
  }

  /**
   * Handles skipped heartbeats, after which it is unknown which nodes have sent heartbeats again.
   */
  public void onGap() {
    lossDetector.reset();
  }

  /**
   * Returns whether so few of the nodes that were alive when this reader began have sent heartbeats
   * since that the fleet must have been lost. Considers only the heartbeats that this reader reads
   * within {@link #RECENT_START_MILLIS} of its first one.
   */
  public boolean isFleetLost() {
    return lossDetector.firstPositionAfterLoss().isPresent();
  }

  /** Returns whether enough nodes are considered alive for a loss of the fleet to be detectable. */
  public boolean isLossDetectable() {
    return acceptingNodes().size() > FleetLossDetector.MIN_DUE_NODES;
  }

  /** Removes the nodes that have not sent a heartbeat since the fleet was lost. */
  public void removeLostNodes() {
    int lostBefore = lossDetector.firstPositionAfterLoss().orElse(0);
    members.values().removeIf(latest -> latest.position() < lostBefore);
    acceptingNodes = null;
  }

  private boolean isSilent(LatestHeartbeat latest) {
    return newestMillis - latest.atMillis() >= silenceMillis(latest.heartbeat().periodMillis());
  }

  /** Returns the silence after which a node with the given heartbeat interval is dead. */
  public long silenceMillis(long periodMillis) {
    return Math.max(silenceMillis, (long) (MAX_SILENT_PERIODS * periodMillis));
  }

  /**
   * Returns the time of the newest heartbeat of any node; {@link Long#MIN_VALUE} if none was read.
   */
  public long newestMillis() {
    return newestMillis;
  }

  /** Returns the live nodes that accept new work, sorted by name. */
  public List<MemberBeat> acceptingNodes() {
    if (acceptingNodes == null) {
      acceptingNodes = findAccepting();
    }
    return acceptingNodes;
  }

  private List<MemberBeat> findAccepting() {
    return members.values().stream()
        .filter(latest -> !isSilent(latest))
        .map(LatestHeartbeat::heartbeat)
        .filter(MemberBeat::taking)
        .sorted(Comparator.comparing(MemberBeat::node))
        .toList();
  }

  /** Returns whether a node is alive and accepts new work. */
  public boolean isAccepting(String node) {
    return acceptingNodes().stream().anyMatch(heartbeat -> heartbeat.node().equals(node));
  }

  /** Returns whether an incarnation of a node is alive and accepts new work. */
  public boolean isAccepting(String node, long incarnation) {
    return acceptingNodes().stream()
        .anyMatch(
            heartbeat -> heartbeat.node().equals(node) && heartbeat.incarnation() == incarnation);
  }

  /**
   * Returns whether an incarnation of a node is leaving or was replaced by a later one; false if
   * the incarnation is later than the newest one read.
   */
  public boolean hasEnded(String node, long incarnation) {
    LatestHeartbeat latest = members.get(node);
    if (latest == null || latest.heartbeat().incarnation() < incarnation) {
      return false;
    }
    return !latest.heartbeat().taking() || latest.heartbeat().incarnation() > incarnation;
  }

  /**
   * Returns the rank of a node among the live ones that accept work, from zero: large nodes first,
   * and within each group the most recently started first; the number of these nodes if the node is
   * unknown. During a rolling restart the most recently started node stays the longest. If work is
   * spread over zones, the next ranks after the first go to other zones, so that nodes which are
   * lost with the holder do not delay the claim.
   */
  public int rankByStartTime(String node) {
    LargeNodes largeNodes = LargeNodes.among(acceptingNodes());
    List<MemberBeat> ranked =
        acceptingNodes().stream()
            .sorted(
                largeNodes
                    .largeFirst()
                    .thenComparing(Comparator.comparingLong(MemberBeat::incarnation).reversed()))
            .toList();
    if (spreadsOverZones) {
      ranked = spread(ranked, largeNodes);
    }
    for (int position = 0; position < ranked.size(); position++) {
      if (ranked.get(position).node().equals(node)) {
        return position;
      }
    }
    return ranked.size();
  }

  /** Reorders nodes with every zone used once before any is used again, large nodes first. */
  private static List<MemberBeat> spread(List<MemberBeat> ranked, LargeNodes largeNodes) {
    List<MemberBeat> spread = new ArrayList<>(ranked.size());
    Set<String> usedZones = new HashSet<>();
    Map<Boolean, List<MemberBeat>> bySize =
        ranked.stream().collect(Collectors.partitioningBy(largeNodes::contains));
    appendAcrossZones(bySize.get(true), usedZones, spread);
    appendAcrossZones(bySize.get(false), usedZones, spread);
    return spread;
  }

  /**
   * Like {@link Rendezvous#rankAcrossZones}, but keeps the given order and continues with the zones
   * used so far.
   */
  private static void appendAcrossZones(
      List<MemberBeat> ranked, Set<String> usedZones, List<MemberBeat> spread) {
    Map<String, Deque<Integer>> positionsByZone = new HashMap<>();
    for (int position = 0; position < ranked.size(); position++) {
      positionsByZone
          .computeIfAbsent(ranked.get(position).zone(), zone -> new ArrayDeque<>())
          .add(position);
    }
    while (!positionsByZone.isEmpty()) {
      if (usedZones.containsAll(positionsByZone.keySet())) {
        usedZones.clear();
      }
      String zone = firstZone(positionsByZone, usedZones);
      Deque<Integer> positions = positionsByZone.get(zone);
      spread.add(ranked.get(positions.poll()));
      usedZones.add(zone);
      if (positions.isEmpty()) {
        positionsByZone.remove(zone);
      }
    }
  }

  /** Returns the zone, of those not used yet, whose next node has the best rank. */
  private static String firstZone(
      Map<String, Deque<Integer>> positionsByZone, Set<String> usedZones) {
    return positionsByZone.entrySet().stream()
        .filter(entry -> !usedZones.contains(entry.getKey()))
        .min(Comparator.comparingInt(entry -> entry.getValue().peek()))
        .map(Map.Entry::getKey)
        .orElseThrow();
  }

  /**
   * Returns the rank of a node among the candidates for a key, from zero; the number of candidates
   * if the node is unknown.
   */
  public int rankForKey(String key, String node) {
    List<Member> ranked = rank(key);
    for (int position = 0; position < ranked.size(); position++) {
      if (ranked.get(position).name().equals(node)) {
        return position;
      }
    }
    return ranked.size();
  }

  private List<Member> rank(String key) {
    List<MemberBeat> recentlyStarted = recentlyStartedInOrder();
    if (recentlyStarted.size() < RECENT_START_SHARE * acceptingNodes().size()) {
      return rank(key, acceptingNodes());
    }
    Set<MemberBeat> first = Set.copyOf(limitToFirstNodes(recentlyStarted));
    List<MemberBeat> others =
        acceptingNodes().stream().filter(heartbeat -> !first.contains(heartbeat)).toList();
    List<Member> ranked = new ArrayList<>(rank(key, limitToFirstNodes(recentlyStarted)));
    ranked.addAll(rank(key, others));
    return ranked;
  }

  /** Returns the live nodes that have recently started, in the order of their first heartbeats. */
  private List<MemberBeat> recentlyStartedInOrder() {
    return acceptingNodes().stream()
        .filter(HeartbeatTable::isRecentlyStarted)
        .sorted(Comparator.comparingInt(heartbeat -> members.get(heartbeat.node()).firstPosition()))
        .toList();
  }

  private static boolean isRecentlyStarted(MemberBeat heartbeat) {
    return heartbeat.inLogMillis() > 0 && heartbeat.inLogMillis() < RECENT_START_MILLIS;
  }

  private static List<MemberBeat> limitToFirstNodes(List<MemberBeat> recentlyStarted) {
    return recentlyStarted.subList(0, Math.min(MAX_FIRST_NODES, recentlyStarted.size()));
  }

  private List<Member> rank(String key, List<MemberBeat> heartbeats) {
    LargeNodes largeNodes = LargeNodes.among(heartbeats);
    List<Member> ranked = new ArrayList<>(rankByRendezvous(key, heartbeats, largeNodes::contains));
    ranked.addAll(rankByRendezvous(key, heartbeats, heartbeat -> !largeNodes.contains(heartbeat)));
    return ranked;
  }

  private List<Member> rankByRendezvous(
      String key, List<MemberBeat> heartbeats, Predicate<MemberBeat> selected) {
    List<Member> candidates =
        heartbeats.stream()
            .filter(selected)
            .map(heartbeat -> new Member(heartbeat.node(), heartbeat.zone()))
            .toList();
    return spreadsOverZones
        ? Rendezvous.rankAcrossZones(key, candidates, candidates.size())
        : Rendezvous.rank(key, candidates, candidates.size());
  }

  /**
   * Returns addresses of live nodes for callers: those of the caller's zone if it has enough nodes,
   * else of all. Only as many nodes are returned as the callers' load needs, the same ones each
   * time, large ones first, so that connections to back ends are reused instead of opened at every
   * node.
   *
   * @param minInZone number of nodes in the caller's zone that suffice
   * @param maxAddresses maximum number of addresses
   */
  public List<String> addressesFor(String zone, int minInZone, int maxAddresses) {
    return addressesFor(zone, "", Topology.ofZone(zone), minInZone, maxAddresses);
  }

  /**
   * Returns addresses of live nodes for callers in a deployment of several regions: those of the
   * caller's zone if they suffice for its share of the region's load, else of its region, and of
   * all regions only if its own has no live node.
   *
   * @param region region of the caller; that of its zone if it is not a known one
   * @param minInZone minimum number of nodes in the caller's zone that suffice
   * @param maxAddresses maximum number of addresses
   */
  public List<String> addressesFor(
      String zone, String region, Topology topology, int minInZone, int maxAddresses) {
    List<MemberBeat> selected = acceptingNodes();
    // Stays zero in a single region, where the number of nodes alone decides.
    double zoneRequestsPerSecond = 0;
    if (topology.hasSeveralRegions()) {
      String callerRegion = topology.regions().contains(region) ? region : topology.regionOf(zone);
      List<MemberBeat> inRegion =
          selected.stream()
              .filter(heartbeat -> topology.regionOf(heartbeat.zone()).equals(callerRegion))
              .toList();
      selected = inRegion.isEmpty() ? selected : inRegion;
      zoneRequestsPerSecond =
          requestsPerSecond(selected) / Math.max(1, topology.zonesOf(callerRegion).size());
    }
    List<MemberBeat> inZone =
        selected.stream().filter(heartbeat -> heartbeat.zone().equals(zone)).toList();
    boolean suffices = inZone.size() * REQUESTS_PER_SECOND_PER_NODE >= zoneRequestsPerSecond;
    return chooseForCallers(
        inZone.size() >= minInZone && suffices ? inZone : selected, zone, maxAddresses);
  }

  private static double requestsPerSecond(List<MemberBeat> heartbeats) {
    return heartbeats.stream().mapToDouble(MemberBeat::requestsPerSecond).sum();
  }

  private static List<String> chooseForCallers(
      List<MemberBeat> selected, String zone, int maxAddresses) {
    long needed =
        Math.max(
            MIN_NODES_FOR_CALLERS,
            (long) Math.ceil(requestsPerSecond(selected) / REQUESTS_PER_SECOND_PER_NODE));
    return selected.stream()
        .sorted(
            LargeNodes.among(selected)
                .largeFirst()
                .thenComparingLong(
                    heartbeat -> Rendezvous.weight(CALLERS_KEY_PREFIX + zone, heartbeat.node())))
        .limit(Math.min(needed, maxAddresses))
        .map(MemberBeat::address)
        .toList();
  }
}
