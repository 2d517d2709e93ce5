package org.passhaven.soak.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.passhaven.platform.standin.history.Observation;
import org.passhaven.platform.standin.history.ServerObservation.RequestArrived;
import org.passhaven.platform.standin.history.ServerObservation.RunRefused;

/** What has reached the back ends. */
final class Arrivals {
  private static final int MISDIRECTED = 421;

  private Arrivals() {}

  /**
   * Returns the requests that reached a back end, without those that it answered with 421: it
   * looked at them and did not take them.
   */
  static List<RequestArrived> counted(Evidence evidence) {
    Map<String, RequestArrived> last = new HashMap<>();
    Set<RequestArrived> misdirected = new HashSet<>();
    for (Observation seen : evidence.observations()) {
      if (seen instanceof RequestArrived arrived) {
        last.put(arrived.instance() + "/" + arrived.id(), arrived);
      } else if (seen instanceof RunRefused refused && refused.status() == MISDIRECTED) {
        RequestArrived arrived = last.remove(refused.instance() + "/" + refused.id());
        if (arrived != null) {
          misdirected.add(arrived);
        }
      }
    }
    return evidence
        .all(RequestArrived.class)
        .filter(arrived -> !misdirected.contains(arrived))
        .toList();
  }
}
