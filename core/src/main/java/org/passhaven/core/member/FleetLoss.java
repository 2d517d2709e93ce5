package org.passhaven.core.member;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalInt;
import org.passhaven.protocol.member.MemberBeat;

/**
 * Tells from the order of beats in the log whether a fleet was lost. Each start tells for how long
 * it has been in the log, so that the part of the log between its first beat and a later one is
 * known to span that time at least, however slow the log is and whenever it is read: a node that
 * lives has beaten within it if its period is no longer. So whoever starts late in a lost fleet
 * knows of the loss from its first read. Not thread-safe.
 */
final class FleetLoss {
  /** Fewer nodes that are silent may be chance. */
  static final int MANY_NODES = 4;

  /** Of live nodes all have beaten again by then but those that a store turns away, a third. */
  private static final int FEW_ONE_IN = 4;

  private final Map<MemberBeat.Start, Track> tracks = new LinkedHashMap<>();

  /** What was read of one start. */
  private static final class Track {
    final MemberBeat first;
    final int firstPlace;
    MemberBeat newest;
    int place;

    Track(MemberBeat first, int place) {
      this.first = first;
      this.firstPlace = place;
    }

    /** Time that the log spans at least between the first and the newest beat; 0 if unknown. */
    long spanMillis() {
      return first.inLogMillis() == MemberBeat.FIRST_IN_LOG_MILLIS
          ? newest.inLogMillis() - MemberBeat.FIRST_IN_LOG_MILLIS
          : 0;
    }

    boolean isDueWithin(long spanMillis) {
      return newest.taking() && newest.periodMillis() <= spanMillis;
    }
  }

  /** A beat was read; places rise in the order of the log. */
  void onBeat(MemberBeat beat, int place) {
    Track track = tracks.computeIfAbsent(beat.start(), start -> new Track(beat, place));
    track.newest = beat;
    track.place = place;
  }

  /** Beats were passed over: begins anew. */
  void forget() {
    tracks.clear();
  }

  /** Place of the first beat after the loss of the fleet; empty if it was not lost. */
  OptionalInt lostBefore() {
    return tracks.values().stream()
        .filter(track -> track.spanMillis() > 0 && isLostBefore(track))
        .mapToInt(track -> track.firstPlace)
        .findFirst();
  }

  /** Whether nearly nobody of those who were there before a start has gone on since. */
  private boolean isLostBefore(Track since) {
    int due = 0;
    int again = 0;
    for (Track track : newestBefore(since).values()) {
      boolean isAgain = track.place > since.firstPlace;
      // Who need not have beaten yet but has is a sign of life all the same.
      if (isAgain || track.isDueWithin(since.spanMillis())) {
        due++;
        again += isAgain ? 1 : 0;
      }
    }
    return due >= MANY_NODES && again * FEW_ONE_IN < due;
  }

  /** The newest start of each node that was in the log before another start, by node. */
  private Map<String, Track> newestBefore(Track since) {
    Map<String, Track> newest = new HashMap<>();
    for (Track track : tracks.values()) {
      if (track.firstPlace < since.firstPlace) {
        newest.put(track.newest.node(), track);
      }
    }
    return newest;
  }
}
