package org.passhaven.soak.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.passhaven.platform.standin.history.NodeObservation.Happening;
import org.passhaven.platform.standin.history.NodeObservation.ProcessEvent;
import org.passhaven.platform.standin.history.Observation;
import org.passhaven.platform.standin.history.RequestObservation.RequestAnswered;
import org.passhaven.platform.standin.history.RequestObservation.RequestBroken;
import org.passhaven.platform.standin.history.RequestObservation.RequestSent;
import org.passhaven.platform.standin.history.ServerObservation.RunEnd;
import org.passhaven.platform.standin.history.ServerObservation.RunEnded;

/**
 * {@link Promise#PLANNED_STOP_LOSES_NOTHING}: requests at a node that was asked to end, where
 * nothing else disturbed it.
 */
final class PlannedStopCheck {
  private final Evidence evidence;
  private final Tally tally;
  private final TouchTable unplanned;
  private final Map<String, Long> stopMillis = new HashMap<>();
  private final Map<String, RequestSent> requests = new HashMap<>();
  private final Set<String> cutByServers = new HashSet<>();

  private PlannedStopCheck(Evidence evidence, Tally tally) {
    this.evidence = evidence;
    this.tally = tally;
    this.unplanned =
        TouchTable.of(
            evidence.observations().stream().filter(seen -> !isStop(seen)).toList(),
            evidence.bounds().contactMillis());
    evidence.all(RequestSent.class).forEach(sent -> requests.put(sent.id(), sent));
    evidence
        .all(RunEnded.class)
        .filter(ended -> ended.how() == RunEnd.BROKEN || ended.how() == RunEnd.CRASHED)
        .forEach(ended -> cutByServers.add(ended.id()));
  }

  static void judge(Evidence evidence, Tally tally) {
    PlannedStopCheck check = new PlannedStopCheck(evidence, tally);
    evidence.observations().forEach(check::see);
  }

  private static boolean isStop(Observation seen) {
    return seen instanceof ProcessEvent event && event.happening() == Happening.STOP_ASKED;
  }

  private void see(Observation seen) {
    if (seen instanceof ProcessEvent event) {
      if (event.happening() == Happening.STOP_ASKED) {
        stopMillis.put(event.node(), event.atMillis());
      } else if (event.happening() == Happening.STARTED) {
        stopMillis.remove(event.node());
      }
    } else if (seen instanceof RequestAnswered answer
        && isBound(answer.node(), answer.sentAtMillis(), answer.atMillis())) {
      tally.check(true, answer.atMillis(), answer.node(), answer.id(), () -> "");
    } else if (seen instanceof RequestBroken broken && broken.connected()) {
      see(broken);
    }
  }

  private void see(RequestBroken broken) {
    long heldMillis = broken.atMillis() - broken.sentAtMillis();
    RequestSent sent = requests.get(broken.id());
    boolean isLost =
        sent != null
            && heldMillis > evidence.bounds().lossSlackMillis()
            && heldMillis < sent.deadlineMillis()
            && !cutByServers.contains(broken.id());
    if (isLost && isBound(broken.node(), broken.sentAtMillis(), broken.atMillis())) {
      tally.check(
          false,
          broken.atMillis(),
          broken.node(),
          broken.id(),
          () ->
              "cut "
                  + heldMillis
                  + " ms after it was sent, "
                  + (broken.atMillis() - stopMillis.get(broken.node()))
                  + " ms after the node was asked to end: "
                  + broken.reason());
    }
  }

  private boolean isBound(String node, long sentMillis, long atMillis) {
    return stopMillis.containsKey(node)
        && unplanned.isInTouch(node, sentMillis, atMillis)
        && atMillis >= stopMillis.get(node);
  }
}
