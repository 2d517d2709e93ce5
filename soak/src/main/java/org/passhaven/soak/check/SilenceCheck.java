package org.passhaven.soak.check;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.passhaven.platform.standin.history.NodeObservation.LinkFaultSet;
import org.passhaven.platform.standin.history.Observation;
import org.passhaven.platform.standin.history.RequestObservation.FloodBegun;
import org.passhaven.platform.standin.history.RequestObservation.RequestAnswered;
import org.passhaven.platform.standin.history.RequestObservation.RequestSent;
import org.passhaven.platform.standin.history.ServerObservation.ServerEnded;
import org.passhaven.soak.plan.LinkHarm;

/**
 * {@link Promise#SERVED_OVER_NEW_CONNECTIONS}: in the second after a strike, where nothing else
 * disturbed any node and no back end ended.
 */
final class SilenceCheck {
  private static final long WINDOW_MILLIS = 1_000;
  private static final int OK = 200;

  /** Fewer requests say nothing of a share. */
  private static final int FEW_REQUESTS = 10;

  /** Of a hundred requests some are meant to fail at their back ends. */
  private static final double LEAST_SHARE = 0.9;

  /** A request that comes with less time has been tried before. */
  private static final long LEAST_DEADLINE_MILLIS = 500;

  private final Evidence evidence;
  private final TouchTable others;
  private final Set<String> served;
  private final Set<String> slow;

  private SilenceCheck(Evidence evidence) {
    this.evidence = evidence;
    this.others = TouchTable.of(withoutStrikes(evidence), evidence.bounds().contactMillis());
    this.slow = SlowReaderChecks.ids(evidence);
    this.served =
        evidence
            .all(RequestAnswered.class)
            .filter(answer -> answer.status() == OK)
            .map(RequestAnswered::id)
            .collect(Collectors.toSet());
  }

  static void judge(Evidence evidence, Tally tally) {
    SilenceCheck check = new SilenceCheck(evidence);
    long checkedUntilMillis = Long.MIN_VALUE;
    for (LinkFaultSet set : evidence.all(LinkFaultSet.class).toList()) {
      if (isStrike(set) && set.atMillis() >= checkedUntilMillis) {
        checkedUntilMillis = set.atMillis() + WINDOW_MILLIS;
        check.checkStrike(set.atMillis(), tally);
      }
    }
  }

  private static boolean isStrike(LinkFaultSet set) {
    return set.fault().equals(LinkHarm.MUTE.name());
  }

  /** A strike happens at once, so its end is told right after it: that is left out too. */
  private static List<Observation> withoutStrikes(Evidence evidence) {
    List<Observation> others = new ArrayList<>();
    Set<String> struck = new HashSet<>();
    for (Observation seen : evidence.observations()) {
      if (seen instanceof LinkFaultSet set) {
        String link = set.node() + "/" + set.link();
        if (isStrike(set)) {
          struck.add(link);
        } else if (!set.fault().isEmpty() || !struck.remove(link)) {
          others.add(seen);
        }
      } else {
        others.add(seen);
      }
    }
    return others;
  }

  private void checkStrike(long atMillis, Tally tally) {
    List<RequestSent> sent =
        evidence
            .all(RequestSent.class)
            .filter(RequestSent::mayRepeat)
            .filter(request -> request.deadlineMillis() >= LEAST_DEADLINE_MILLIS)
            .filter(request -> !slow.contains(request.id()))
            .filter(request -> isWithin(request.atMillis(), atMillis, WINDOW_MILLIS))
            .toList();
    long untilMillis =
        sent.stream()
            .mapToLong(request -> request.atMillis() + request.deadlineMillis())
            .max()
            .orElse(atMillis);
    boolean isEnd =
        evidence
            .all(ServerEnded.class)
            .anyMatch(end -> isWithin(end.atMillis(), atMillis, untilMillis - atMillis));
    if (sent.size() < FEW_REQUESTS
        || isEnd
        || isFlooded(atMillis, untilMillis)
        || isStuttering(atMillis, untilMillis)
        || !others.areInTouch(evidence.nodes(), atMillis, untilMillis)) {
      return;
    }
    long answered = sent.stream().filter(request -> served.contains(request.id())).count();
    tally.check(
        answered >= LEAST_SHARE * sent.size(),
        atMillis,
        "",
        "strike at " + atMillis,
        () ->
            answered + " of " + sent.size() + " requests were served while connections are silent");
  }

  /**
   * Whether a flood overlaps a span of time: its requests are refused in part for reasons of load.
   */
  private boolean isFlooded(long fromMillis, long untilMillis) {
    return evidence
        .all(FloodBegun.class)
        .anyMatch(
            flood ->
                flood.atMillis() <= untilMillis
                    && flood.atMillis() + flood.forMillis() >= fromMillis);
  }

  private boolean isStuttering(long fromMillis, long untilMillis) {
    return StutterSpan.all(evidence).stream()
        .anyMatch(span -> span.overlaps(fromMillis, untilMillis));
  }

  private static boolean isWithin(long millis, long fromMillis, long forMillis) {
    return millis >= fromMillis && millis < fromMillis + forMillis;
  }
}
