package org.passhaven.core.member;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
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
  private final long silenceMillis;
  private final Map<String, Heard> members = new TreeMap<>();
  private long newestMillis = Long.MIN_VALUE;
  private List<MemberBeat> taking;

  private record Heard(MemberBeat beat, long atMillis) {}

  /**
   * Creates a table.
   *
   * @param silenceMillis time without a beat after which a node is dead, if its beats are not
   *     further apart than that allows
   */
  public BeatTable(long silenceMillis) {
    this.silenceMillis = silenceMillis;
  }

  /** A beat was read. */
  public void onBeat(MemberBeat beat, long nowMillis) {
    Objects.requireNonNull(beat, "beat");
    newestMillis = Math.max(newestMillis, nowMillis);
    taking = null;
    Heard known = members.get(beat.node());
    // A clock that was set back may give a new start a lower number; silence of the old one
    // decides.
    boolean silent = known == null || isSilent(known);
    if (silent || beat.incarnation() >= known.beat().incarnation()) {
      members.put(beat.node(), new Heard(beat, nowMillis));
    }
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
   * Place of a node among the live ones by start, the youngest first; the last one if it is
   * unknown. Where nodes are restarted in turn, the youngest one stays longest.
   */
  public int rankByYouth(String node) {
    List<MemberBeat> byYouth =
        taking().stream()
            .sorted(Comparator.comparingLong(MemberBeat::incarnation).reversed())
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
    List<Member> candidates =
        taking().stream().map(beat -> new Member(beat.node(), beat.zone())).toList();
    return Rendezvous.rank(key, candidates, candidates.size());
  }

  /**
   * Addresses at which callers reach live nodes: those of a zone if it has enough, else all. Of
   * many nodes only as many are named as the callers' load needs, the same ones each time:
   * connections to back ends then stay in use instead of being opened anew at every node.
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
            Comparator.comparingLong(
                (MemberBeat beat) -> Rendezvous.weight(CALLERS_KEY_PREFIX + zone, beat.node())))
        .limit(Math.min(needed, most))
        .map(MemberBeat::address)
        .toList();
  }
}
