package org.passhaven.core.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.passhaven.core.placement.Member;
import org.passhaven.core.placement.Rendezvous;
import org.passhaven.protocol.member.MemberBeat;

/**
 * Live nodes by their beats. Each beat tells when the next one is due. Silence is counted against
 * the newest beat of anybody, not against the clock: a log that is down, or a node that can't reach
 * it, makes nobody dead. Times in monotonic milliseconds of the reader. Not thread-safe.
 */
public final class BeatTable {
  private static final String CALLERS_KEY_PREFIX = "callers/";
  private static final int FEWEST_FOR_CALLERS = 6;

  /** Beats that may be missing before a node is dead: two, and the third may be late. */
  private static final double SILENT_PERIODS = 3.2;

  private static final double REQUESTS_PER_NODE = 15;

  /**
   * In a fleet that has just started those who are back first come first, in the order of the log:
   * who is back later, as slow machines are, would hold up what it is the first candidate for.
   */
  private static final int FIRST_BACK = 8;

  /** Time for which a start counts as fresh, longer than a lost fleet takes to restart. */
  private static final long FRESH_MILLIS = 5_000;

  /** A fleet counts as just started while this share of its nodes is fresh. */
  private static final double FRESH_SHARE = 0.75;

  private final long silenceMillis;
  private final Map<String, Heard> members = new TreeMap<>();
  private final FleetLoss loss = new FleetLoss();
  private int beatsHeard;
  private long startMillis = Long.MIN_VALUE;
  private long newestMillis = Long.MIN_VALUE;
  private List<MemberBeat> taking;

  /**
   * The newest beat of a node.
   *
   * @param firstPlace place in the log of the first beat that was read of this start
   * @param place place of this beat, in the same order
   */
  private record Heard(MemberBeat beat, int firstPlace, int place, long atMillis) {}

  /**
   * Creates a table.
   *
   * @param silenceMillis time without a beat after which a node is dead, if its beats are not
   *     further apart than that allows
   */
  public BeatTable(long silenceMillis) {
    this.silenceMillis = silenceMillis;
  }

  /** A beat was read; beats are given in the order of the log. */
  public void onBeat(MemberBeat beat, long nowMillis) {
    Objects.requireNonNull(beat, "beat");
    if (startMillis == Long.MIN_VALUE) {
      startMillis = nowMillis;
    }
    newestMillis = Math.max(newestMillis, nowMillis);
    taking = null;
    int place = beatsHeard++;
    if (newestMillis - startMillis < FRESH_MILLIS) {
      loss.onBeat(beat, place);
    }
    Heard known = members.get(beat.node());
    // A clock that was set back may give a new start a lower number; silence of the old one
    // decides.
    boolean silent = known == null || isSilent(known);
    if (silent || beat.incarnation() >= known.beat().incarnation()) {
      boolean isSameStart = known != null && known.beat().start().equals(beat.start());
      int firstPlace = isSameStart ? known.firstPlace() : place;
      members.put(beat.node(), new Heard(beat, firstPlace, place, nowMillis));
    }
  }

  /** Beats were skipped, so it is unknown which nodes have beaten again. */
  public void onGap() {
    loss.forget();
  }

  /**
   * Whether so few of the nodes that were there when this reader began go on that the fleet must
   * have been lost. To be asked within the reader's first seconds.
   */
  public boolean isFleetLost() {
    return loss.lostBefore().isPresent();
  }

  /** Whether enough nodes are believed alive for the loss of the fleet to be detected. */
  public boolean isLossDetectable() {
    return taking().size() > FleetLoss.MIN_DUE_NODES;
  }

  /** The fleet was lost: forgets the nodes that have not beaten since. */
  public void forgetLost() {
    int lostBefore = loss.lostBefore().orElse(0);
    members.values().removeIf(heard -> heard.place() < lostBefore);
    taking = null;
  }

  private boolean isSilent(Heard heard) {
    return newestMillis - heard.atMillis() >= silenceMillis(heard.beat().periodMillis());
  }

  /** Time without a beat after which a node is dead whose beats come in a period. */
  public long silenceMillis(long periodMillis) {
    return Math.max(silenceMillis, (long) (SILENT_PERIODS * periodMillis));
  }

  /** Time of the newest beat of anybody; the smallest number if none was read. */
  public long newestMillis() {
    return newestMillis;
  }

  /** Live nodes that take new work, by name. */
  public List<MemberBeat> taking() {
    if (taking == null) {
      taking = findTaking();
    }
    return taking;
  }

  private List<MemberBeat> findTaking() {
    return members.values().stream()
        .filter(heard -> !isSilent(heard))
        .map(Heard::beat)
        .filter(MemberBeat::taking)
        .sorted(Comparator.comparing(MemberBeat::node))
        .toList();
  }

  /** Whether a node is alive and takes new work. */
  public boolean isTaking(String node) {
    return taking().stream().anyMatch(beat -> beat.node().equals(node));
  }

  /** Whether one start of a node is alive and takes new work. */
  public boolean isTaking(String node, long incarnation) {
    return taking().stream()
        .anyMatch(beat -> beat.node().equals(node) && beat.incarnation() == incarnation);
  }

  /**
   * Whether one start of a node is leaving, or a later start has followed it. Of a start that is
   * later than what was read nothing is known.
   */
  public boolean isOver(String node, long incarnation) {
    Heard heard = members.get(node);
    if (heard == null || heard.beat().incarnation() < incarnation) {
      return false;
    }
    return !heard.beat().taking() || heard.beat().incarnation() > incarnation;
  }

  /**
   * Place of a node among the live ones: strong ones first, then by start, the youngest first; the
   * last one if it is unknown. Where nodes are restarted in turn, the youngest one stays longest.
   */
  public int rankByYouth(String node) {
    StrongNodes strong = StrongNodes.among(taking());
    List<MemberBeat> byYouth =
        taking().stream()
            .sorted(
                strong
                    .first()
                    .thenComparing(Comparator.comparingLong(MemberBeat::incarnation).reversed()))
            .toList();
    for (int place = 0; place < byYouth.size(); place++) {
      if (byYouth.get(place).node().equals(node)) {
        return place;
      }
    }
    return byYouth.size();
  }

  /** Place of a node among the candidates for a key, from zero; the last one if it is unknown. */
  public int rankOf(String key, String node) {
    List<Member> ranked = rank(key);
    for (int place = 0; place < ranked.size(); place++) {
      if (ranked.get(place).name().equals(node)) {
        return place;
      }
    }
    return ranked.size();
  }

  private List<Member> rank(String key) {
    List<MemberBeat> fresh = freshInOrder();
    if (fresh.size() < FRESH_SHARE * taking().size()) {
      return rank(key, taking());
    }
    Set<MemberBeat> first = Set.copyOf(firstOf(fresh));
    List<MemberBeat> others = taking().stream().filter(beat -> !first.contains(beat)).toList();
    List<Member> ranked = new ArrayList<>(rank(key, firstOf(fresh)));
    ranked.addAll(rank(key, others));
    return ranked;
  }

  /** Live nodes that have just started, in the order in which they came. */
  private List<MemberBeat> freshInOrder() {
    return taking().stream()
        .filter(BeatTable::isFresh)
        .sorted(Comparator.comparingInt(beat -> members.get(beat.node()).firstPlace()))
        .toList();
  }

  private static boolean isFresh(MemberBeat beat) {
    return beat.inLogMillis() > 0 && beat.inLogMillis() < FRESH_MILLIS;
  }

  private static List<MemberBeat> firstOf(List<MemberBeat> fresh) {
    return fresh.subList(0, Math.min(FIRST_BACK, fresh.size()));
  }

  private static List<Member> rank(String key, List<MemberBeat> beats) {
    StrongNodes strong = StrongNodes.among(beats);
    List<Member> ranked = new ArrayList<>(rendezvous(key, beats, strong::contains));
    ranked.addAll(rendezvous(key, beats, beat -> !strong.contains(beat)));
    return ranked;
  }

  private static List<Member> rendezvous(
      String key, List<MemberBeat> beats, Predicate<MemberBeat> chosen) {
    List<Member> candidates =
        beats.stream().filter(chosen).map(beat -> new Member(beat.node(), beat.zone())).toList();
    return Rendezvous.rank(key, candidates, candidates.size());
  }

  /**
   * Addresses at which callers reach live nodes: those of a zone if it has enough, else all. Of
   * many nodes only as many are named as the callers' load needs, the same ones each time, strong
   * ones first: connections to back ends then stay in use instead of being opened anew at every
   * node.
   *
   * @param enough nodes of the caller's zone that suffice
   */
  public List<String> addressesFor(String zone, int enough, int most) {
    List<MemberBeat> all = taking();
    List<MemberBeat> near = all.stream().filter(beat -> beat.zone().equals(zone)).toList();
    List<MemberBeat> chosen = near.size() >= enough ? near : all;
    double load = chosen.stream().mapToDouble(MemberBeat::requestsPerSecond).sum();
    long needed = Math.max(FEWEST_FOR_CALLERS, (long) Math.ceil(load / REQUESTS_PER_NODE));
    return chosen.stream()
        .sorted(
            StrongNodes.among(chosen)
                .first()
                .thenComparingLong(
                    beat -> Rendezvous.weight(CALLERS_KEY_PREFIX + zone, beat.node())))
        .limit(Math.min(needed, most))
        .map(MemberBeat::address)
        .toList();
  }
}
