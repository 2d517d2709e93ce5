package org.passhaven.soak.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.passhaven.platform.standin.history.Observation;
import org.passhaven.platform.standin.history.OperatorObservation.EvacuationAcknowledged;
import org.passhaven.platform.standin.history.OperatorObservation.EvacuationEndSent;
import org.passhaven.platform.standin.history.RequestObservation.RequestSent;
import org.passhaven.platform.standin.history.ServerObservation.RequestArrived;

/**
 * {@link Promise#ZONE_EMPTIED_IN_TIME}: an evacuation binds from {@link Bounds#evacuateMillis}
 * after its acknowledgement until its taking back is sent, for nodes in touch when a request
 * arrives.
 */
final class EvacuationCheck {
  /** An evacuated zone had traffic to lose if a request came this long before. */
  private static final long BUSY_MILLIS = 5_000;

  private final Evidence evidence;
  private final List<RequestArrived> arrivals;
  private final Map<String, List<RequestSent>> sends = new HashMap<>();

  private record Evacuation(String zone, long atMillis, long endMillis) {}

  private EvacuationCheck(Evidence evidence) {
    this.evidence = evidence;
    this.arrivals = Arrivals.counted(evidence);
    evidence
        .all(RequestSent.class)
        .forEach(sent -> sends.computeIfAbsent(sent.id(), id -> new ArrayList<>()).add(sent));
  }

  static void judge(Evidence evidence, Tally tally) {
    List<Evacuation> evacuations = evacuations(evidence);
    if (!evacuations.isEmpty()) {
      EvacuationCheck check = new EvacuationCheck(evidence);
      evacuations.forEach(evacuation -> check.judge(evacuation, tally));
    }
  }

  private static List<Evacuation> evacuations(Evidence evidence) {
    Map<String, Long> open = new HashMap<>();
    List<Evacuation> evacuations = new ArrayList<>();
    for (Observation seen : evidence.observations()) {
      if (seen instanceof EvacuationAcknowledged begun) {
        open.putIfAbsent(begun.zone(), begun.atMillis());
      } else if (seen instanceof EvacuationEndSent end && open.containsKey(end.zone())) {
        evacuations.add(new Evacuation(end.zone(), open.remove(end.zone()), end.atMillis()));
      }
    }
    open.forEach(
        (zone, atMillis) -> evacuations.add(new Evacuation(zone, atMillis, Long.MAX_VALUE)));
    return evacuations;
  }

  private void judge(Evacuation evacuation, Tally tally) {
    long bindsFromMillis = evacuation.atMillis() + evidence.bounds().evacuateMillis();
    boolean wasBusy = false;
    boolean isOtherBusy = false;
    for (RequestArrived arrived : arrivals) {
      long atMillis = arrived.atMillis();
      boolean isInZone = arrived.zone().equals(evacuation.zone());
      boolean isLate = atMillis > bindsFromMillis && atMillis < evacuation.endMillis();
      wasBusy |=
          isInZone
              && atMillis > evacuation.atMillis() - BUSY_MILLIS
              && atMillis < evacuation.atMillis();
      if (isLate && isFromNodesInTouch(arrived)) {
        isOtherBusy |= !isInZone;
        if (isInZone) {
          tellLate(evacuation, arrived, tally);
        }
      }
    }
    if (wasBusy && isOtherBusy) {
      tally.check(true, evacuation.atMillis(), "", evacuation.zone(), () -> "");
    }
  }

  private void tellLate(Evacuation evacuation, RequestArrived arrived, Tally tally) {
    List<String> senders = senders(arrived);
    tally.check(
        false,
        arrived.atMillis(),
        senders.size() == 1 ? senders.get(0) : "",
        arrived.id(),
        () ->
            "reaches "
                + arrived.instance()
                + " of zone "
                + evacuation.zone()
                + " "
                + (arrived.atMillis() - evacuation.atMillis())
                + " ms after its evacuation");
  }

  private boolean isFromNodesInTouch(RequestArrived arrived) {
    return evidence.touch().areInTouch(senders(arrived), arrived.atMillis(), arrived.atMillis());
  }

  /** Who sent an item isn't seen at the server: it may be any node. */
  private List<String> senders(RequestArrived arrived) {
    List<String> senders =
        sends.getOrDefault(arrived.id(), List.of()).stream()
            .filter(sent -> sent.atMillis() <= arrived.atMillis())
            .map(RequestSent::node)
            .distinct()
            .toList();
    return senders.isEmpty() ? evidence.nodes() : senders;
  }
}
