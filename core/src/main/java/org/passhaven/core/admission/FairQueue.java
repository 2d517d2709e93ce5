package org.passhaven.core.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * Requests of one rank and source that wait, by start-time fair queueing among flows: each turn
 * goes to the flow whose next request could have begun first had each been given its share. A flow
 * is one route's requests of one tenant; in it the earliest deadline goes first. Among routes that
 * would starve those whose callers wait longer. Not thread-safe.
 */
final class FairQueue {
  private static final Comparator<AdmissionRequest> ORDER =
      Comparator.comparingLong(AdmissionRequest::deadlineMillis)
          .thenComparingLong(AdmissionRequest::id);
  private static final Comparator<Flow> TURN =
      Comparator.<Flow>comparingDouble(flow -> flow.start)
          .thenComparing(flow -> flow.waiting.first(), ORDER);

  private final Map<FlowId, Flow> flows = new HashMap<>();
  private double virtualTime;
  private int size;

  /** A request that waits, and how many have their turn before it. */
  record Turn(AdmissionRequest request, int ahead) {}

  private record FlowId(String tenant, String route) {
    static FlowId of(AdmissionRequest request) {
      return new FlowId(request.tenant(), request.route());
    }
  }

  private static final class Flow {
    final TreeSet<AdmissionRequest> waiting = new TreeSet<>(ORDER);
    double start;
  }

  void add(AdmissionRequest request) {
    Flow flow = flows.computeIfAbsent(FlowId.of(request), id -> new Flow());
    if (flow.waiting.isEmpty()) {
      // Who comes back after a pause has no claim on the turns that it did not ask for.
      flow.start = Math.max(flow.start, virtualTime);
    }
    flow.waiting.add(request);
    size++;
  }

  /** Takes a request out without having served it. */
  void remove(AdmissionRequest request) {
    Flow flow = flows.get(FlowId.of(request));
    if (flow != null && flow.waiting.remove(request)) {
      size--;
      forgetIdle();
    }
  }

  /** Takes the request out whose turn it is; there must be one. */
  AdmissionRequest poll() {
    Flow flow =
        flows.values().stream().filter(each -> !each.waiting.isEmpty()).min(TURN).orElseThrow();
    virtualTime = flow.start;
    flow.start++;
    size--;
    AdmissionRequest request = flow.waiting.pollFirst();
    forgetIdle();
    return request;
  }

  /** Flows that have nothing here and no turn ahead of the others are not kept. */
  private void forgetIdle() {
    flows.values().removeIf(each -> each.waiting.isEmpty() && each.start <= virtualTime);
  }

  /** How many waiting requests have their turn before this one would. */
  int ahead(AdmissionRequest request) {
    FlowId id = FlowId.of(request);
    Flow own = flows.get(id);
    int ownAhead = own == null ? 0 : own.waiting.headSet(request).size();
    int othersAhead =
        flows.entrySet().stream()
            .filter(each -> !each.getKey().equals(id))
            .mapToInt(each -> Math.min(each.getValue().waiting.size(), ownAhead + 1))
            .sum();
    return ownAhead + othersAhead;
  }

  /**
   * All that wait, and how many have their turn before each, as {@link #ahead} tells: as many as
   * there are in all flows up to the same place in each, itself not counted. Found for all of them
   * in one go, since one by one takes as many steps as the square of their number.
   *
   * @param before how many go before all of these
   */
  void addTurns(int before, List<Turn> turns) {
    int longest = flows.values().stream().mapToInt(flow -> flow.waiting.size()).max().orElse(0);
    int[] upTo = new int[longest];
    for (Flow flow : flows.values()) {
      for (int place = 0; place < flow.waiting.size(); place++) {
        upTo[place]++;
      }
    }
    for (int place = 1; place < longest; place++) {
      upTo[place] += upTo[place - 1];
    }
    for (Flow flow : flows.values()) {
      int place = 0;
      for (AdmissionRequest request : flow.waiting) {
        turns.add(new Turn(request, before + upTo[place++] - 1));
      }
    }
  }

  /** The request with the latest deadline of the flow that has most; there must be one. */
  AdmissionRequest lastOfLongest() {
    return flows.values().stream()
        .max(Comparator.comparingInt(flow -> flow.waiting.size()))
        .orElseThrow()
        .waiting
        .last();
  }

  Stream<AdmissionRequest> all() {
    return flows.values().stream().flatMap(flow -> flow.waiting.stream());
  }

  int size() {
    return size;
  }
}
