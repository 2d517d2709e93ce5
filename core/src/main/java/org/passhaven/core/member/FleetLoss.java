package org.passhaven.core.member;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalInt;
import org.passhaven.protocol.member.MemberBeat;

/**
 * Detects from the order of beats in the log that nearly all nodes of a fleet were lost at once.
 * Each beat states how long its start has been in the log. So the part of the log between a start's
 * first beat and a later one spans at least that time, however slow the log is and whenever it is
 * read, and every live node with a shorter period has a beat in it. A node that starts late in a
 * lost fleet thus detects the loss at its first read. Not thread-safe.
 */
final class FleetLoss {
  /** Fewest nodes whose beats are due for a loss to be detected: fewer may be silent by chance. */
  static final int MIN_DUE_NODES = 4;

  /**
   * The fleet was lost if less than one in so many of the due nodes has beaten again. In a live
   * fleet most have, even while the log refuses some writes.
   */
  private static final int LOST_BELOW_ONE_IN = 4;

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

  /** Beats were skipped: forgets all that was read. */
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

  /** Whether nearly none of the nodes that were there before a start has beaten since. */
  private boolean isLostBefore(Track since) {
    int due = 0;
    int again = 0;
    for (Track track : newestBefore(since).values()) {
      boolean isAgain = track.place > since.firstPlace;
      // A beat that was not due yet shows a live node too.
      if (isAgain || track.isDueWithin(since.spanMillis())) {
        due++;
        again += isAgain ? 1 : 0;
      }
    }
    return due >= MIN_DUE_NODES && again * LOST_BELOW_ONE_IN < due;
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
