package org.passhaven.core.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * Queue of waiting requests of one priority and source, with start-time fair queueing among flows:
 * the next request is taken from the flow with the smallest virtual start time. A flow consists of
 * the requests of one tenant and route; within a flow the earliest deadline goes first. Ordering
 * all routes by deadline would starve those whose callers accept longer waits. Not thread-safe.
 */
final class FairQueue {
  private static final Comparator<AdmissionRequest> BY_DEADLINE =
      Comparator.comparingLong(AdmissionRequest::deadlineMillis)
          .thenComparingLong(AdmissionRequest::id);
  private static final Comparator<Flow> BY_VIRTUAL_START =
      Comparator.<Flow>comparingDouble(flow -> flow.virtualStart)
          .thenComparing(flow -> flow.waiting.first(), BY_DEADLINE);

  private final Map<FlowId, Flow> flows = new HashMap<>();
  private double virtualTime;
  private int size;

  /** A waiting request and the number of requests that go before it. */
  record QueuePosition(AdmissionRequest request, int ahead) {}

  private record FlowId(String tenant, String route) {
    static FlowId of(AdmissionRequest request) {
      return new FlowId(request.tenant(), request.route());
    }
  }

  /** Waiting requests of one flow and the virtual start time of the next one. */
  private static final class Flow {
    final TreeSet<AdmissionRequest> waiting = new TreeSet<>(BY_DEADLINE);
    double virtualStart;
  }

  void add(AdmissionRequest request) {
    Flow flow = flows.computeIfAbsent(FlowId.of(request), id -> new Flow());
    if (flow.waiting.isEmpty()) {
      // An idle flow gains no credit for its idle time.
      flow.virtualStart = Math.max(flow.virtualStart, virtualTime);
    }
    flow.waiting.add(request);
    size++;
  }

  /** Removes a request that was not served. */
  void remove(AdmissionRequest request) {
    Flow flow = flows.get(FlowId.of(request));
    if (flow != null && flow.waiting.remove(request)) {
      size--;
      removeIdleFlows();
    }
  }

  /** Removes and returns the next request; the queue must not be empty. */
  AdmissionRequest poll() {
    Flow flow =
        flows.values().stream()
            .filter(each -> !each.waiting.isEmpty())
            .min(BY_VIRTUAL_START)
            .orElseThrow();
    virtualTime = flow.virtualStart;
    flow.virtualStart++;
    size--;
    AdmissionRequest request = flow.waiting.pollFirst();
    removeIdleFlows();
    return request;
  }

  /** Removes empty flows whose virtual start time has passed. */
  private void removeIdleFlows() {
    flows.values().removeIf(each -> each.waiting.isEmpty() && each.virtualStart <= virtualTime);
  }

  /**
   * Returns the number of waiting requests that go before this one, which need not be in the queue.
   */
  int countAhead(AdmissionRequest request) {
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
   * Adds all waiting requests to {@code positions}, each with the number of requests ahead of it as
   * computed by {@link #countAhead}: the requests of all flows up to the same position, itself
   * excluded. Computes all numbers in one pass, since one at a time takes quadratic time.
   *
   * @param before number of requests in other queues that go before all of these
   */
  void addPositions(int before, List<QueuePosition> positions) {
    int longest = flows.values().stream().mapToInt(flow -> flow.waiting.size()).max().orElse(0);
    int[] upTo = new int[longest];
    for (Flow flow : flows.values()) {
      for (int position = 0; position < flow.waiting.size(); position++) {
        upTo[position]++;
      }
    }
    for (int position = 1; position < longest; position++) {
      upTo[position] += upTo[position - 1];
    }
    for (Flow flow : flows.values()) {
      int position = 0;
      for (AdmissionRequest request : flow.waiting) {
        positions.add(new QueuePosition(request, before + upTo[position++] - 1));
      }
    }
  }

  /**
   * Returns the request with the latest deadline in the longest flow; the queue must not be empty.
   */
  AdmissionRequest lastOfLongestFlow() {
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
