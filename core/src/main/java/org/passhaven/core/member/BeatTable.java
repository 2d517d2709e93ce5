package org.passhaven.core.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
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

  /** Fewer nodes that are silent may be chance. */
  private static final int MANY_NODES = 4;

  /** Of live nodes all have beaten again by then but those that a store turns away, a third. */
  private static final int FEW_ONE_IN = 4;

  private static final double REQUESTS_PER_NODE = 15;

  /**
   * After the loss of a fleet those who are back first come first, in the order of the log: who is
   * back later, as slow machines are, would hold up what it is the first candidate for.
   */
  private static final int FIRST_BACK = 8;

  private static final long AFTER_LOSS_MILLIS = 5_000;
  private final long silenceMillis;
  private final Map<String, Heard> members = new TreeMap<>();
  private final Map<String, MemberBeat> beatsBeforeStart = new HashMap<>();

  /** Order in which nodes were first heard of, until the reader has followed for a while. */
  private final Map<MemberBeat.Start, Integer> places = new HashMap<>();

  private long startMillis = Long.MIN_VALUE;
  private boolean isAfterLoss;
  private long newestMillis = Long.MIN_VALUE;
  private List<MemberBeat> taking;

  /** {@code isSinceStart}: written after the reader began to follow. */
  private record Heard(MemberBeat beat, boolean isSinceStart, long atMillis) {}

  /**
   * Creates a table.
   *
   * @param silenceMillis time without a beat after which a node is dead, if its beats are not
   *     further apart than that allows
   */
  public BeatTable(long silenceMillis) {
    this.silenceMillis = silenceMillis;
  }

  /**
   * A beat was read that had been written before this node began to follow the beats: up to a
   * period before, if its node is alive; any time before, if it is not.
   */
  public void onBeatBeforeStart(MemberBeat beat, long nowMillis) {
    hear(beat, false, nowMillis);
    beatsBeforeStart.put(beat.node(), beat);
  }

  /** A beat was read. */
  public void onBeat(MemberBeat beat, long nowMillis) {
    hear(beat, true, nowMillis);
  }

  private void hear(MemberBeat beat, boolean isSinceStart, long nowMillis) {
    Objects.requireNonNull(beat, "beat");
    if (startMillis == Long.MIN_VALUE) {
      startMillis = nowMillis;
    }
    newestMillis = Math.max(newestMillis, nowMillis);
    taking = null;
    if (isJustStarted()) {
      places.putIfAbsent(beat.start(), places.size());
    }
    Heard known = members.get(beat.node());
    // A clock that was set back may give a new start a lower number; silence of the old one
    // decides.
    boolean silent = known == null || isSilent(known);
    if (silent || beat.incarnation() >= known.beat().incarnation()) {
      members.put(beat.node(), new Heard(beat, isSinceStart, nowMillis));
    }
  }

  private boolean isJustStarted() {
    return newestMillis - startMillis < AFTER_LOSS_MILLIS;
  }

  /**
   * Whether so few of the nodes that beat before this one's start have done so since that the fleet
   * must have been lost. To be asked when this node's own next beat was read back: by then each
   * live node's was that was due, however slow the log is.
   */
  public boolean isFleetLost() {
    List<MemberBeat> due =
        beatsBeforeStart.values().stream()
            .filter(beat -> beat.periodMillis() <= newestMillis - startMillis)
            .toList();
    long again = due.stream().filter(this::hasBeatenSinceStart).count();
    return due.size() >= MANY_NODES && again * FEW_ONE_IN < due.size();
  }

  private boolean hasBeatenSinceStart(MemberBeat before) {
    Heard heard = members.get(before.node());
    return heard != null
        && heard.isSinceStart()
        && heard.beat().incarnation() == before.incarnation();
  }

  /** The fleet was lost: forgets the nodes that have not beaten since this node's start. */
  public void forgetLost() {
    members.values().removeIf(heard -> !heard.isSinceStart());
    taking = null;
    isAfterLoss = true;
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
    if (!isAfterLoss || !isJustStarted()) {
      return rank(key, taking());
    }
    List<MemberBeat> byStart =
        taking().stream()
            .sorted(Comparator.comparingInt((MemberBeat beat) -> places.get(beat.start())))
            .toList();
    int first = Math.min(FIRST_BACK, byStart.size());
    List<Member> ranked = new ArrayList<>(rank(key, byStart.subList(0, first)));
    ranked.addAll(rank(key, byStart.subList(first, byStart.size())));
    return ranked;
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
