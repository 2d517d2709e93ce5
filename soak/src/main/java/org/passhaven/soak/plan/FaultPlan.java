package org.passhaven.soak.plan;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Everything that is done to the system in one run.
 *
 * @param seed the seed that gave it
 * @param trafficMillis length of the traffic, in ms
 * @param faults what is done, by begin
 * @param isFinalFault whether the run ends with the loss of all nodes at once
 */
public record FaultPlan(long seed, long trafficMillis, List<Fault> faults, boolean isFinalFault) {
  /** Copies. */
  public FaultPlan {
    faults = List.copyOf(faults);
  }

  /** How often each kind stands in the plan. */
  public Map<String, Long> countsByKind() {
    return faults.stream()
        .collect(Collectors.groupingBy(Fault::kind, TreeMap::new, Collectors.counting()));
  }
}
