package org.passhaven.soak.check;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.passhaven.platform.standin.history.NodeObservation.LinkFaultSet;
import org.passhaven.platform.standin.history.Observation;
import org.passhaven.platform.standin.history.ServerObservation.RequestArrived;
import org.passhaven.platform.standin.history.ServerObservation.TurnedCold;
import org.passhaven.soak.plan.LinkKind;

/**
 * {@link Promise#COLD_RATE_KEPT}: in each second, wherever it lies, the requests of all nodes
 * together. It binds nodes that aren't in touch, too.
 */
final class ColdRateCheck {
  private static final long WINDOW_MILLIS = 1_000;
  private static final double OVERAGE_FACTOR = 1.5;
  private static final double SLACK_REQUESTS = 5;

  private final TouchTable links;
  private final Map<String, List<Long>> arrivals = new HashMap<>();

  private ColdRateCheck(Evidence evidence) {
    this.links = TouchTable.of(linkFaults(evidence), evidence.bounds().contactMillis());
    for (RequestArrived arrived : Arrivals.counted(evidence)) {
      arrivals
          .computeIfAbsent(arrived.instance(), instance -> new ArrayList<>())
          .add(arrived.atMillis());
    }
  }

  static void judge(Evidence evidence, Tally tally) {
    List<TurnedCold> turns = evidence.all(TurnedCold.class).toList();
    if (!turns.isEmpty()) {
      ColdRateCheck check = new ColdRateCheck(evidence);
      turns.forEach(turn -> check.judge(turn, tally));
    }
  }

  /** What a harmed link to a back end held arrives at once, though it was sent over a long time. */
  private static List<Observation> linkFaults(Evidence evidence) {
    return evidence
        .all(LinkFaultSet.class)
        .filter(set -> set.link().startsWith(LinkKind.BACK_END.name()))
        .map(Observation.class::cast)
        .toList();
  }

  private void judge(TurnedCold turn, Tally tally) {
    double mostRequests = turn.perSecond() * OVERAGE_FACTOR + SLACK_REQUESTS;
    ArrayDeque<Long> window = new ArrayDeque<>();
    int mostSeen = 0;
    for (long atMillis : arrivals.getOrDefault(turn.instance(), List.of())) {
      if (atMillis < turn.atMillis() || atMillis >= turn.untilMillis()) {
        continue;
      }
      window.add(atMillis);
      while (window.peek() <= atMillis - WINDOW_MILLIS) {
        window.remove();
      }
      if (links.isInTouch(TouchTable.ALL, atMillis - WINDOW_MILLIS, atMillis)) {
        mostSeen = Math.max(mostSeen, window.size());
      }
    }
    if (mostSeen > 0) {
      int count = mostSeen;
      tally.check(
          count <= mostRequests,
          turn.atMillis(),
          "",
          turn.instance(),
          () -> count + " requests in a second while it is cold, at most " + mostRequests);
    }
  }
}
