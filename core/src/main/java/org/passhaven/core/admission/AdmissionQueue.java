package org.passhaven.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.passhaven.core.admission.AdmissionRequest.Source;

/**
 * Queue of requests that wait for a free slot at a service, in order of priority; within one
 * priority callers go before scorings, and within one source the flows of tenants and routes take
 * turns. To prevent starvation, a class (the requests of one priority and source) whose share of
 * sent requests has fallen far below the overall share goes first until it has recovered. This
 * never serves a less urgent class better than a more urgent one. Times are in monotonic
 * milliseconds. Not thread-safe.
 */
final class AdmissionQueue {
  /**
   * A class is starving if its share of sent requests is below this fraction of the overall share.
   * No class may fall below a quarter of the overall share; half leaves a margin.
   */
  private static final double STARVING_FRACTION_OF_OVERALL_SHARE = 0.5;

  /** Key of the requests of one priority and source; classes are ordered by urgency. */
  private record AdmissionClass(int priority, Source source) implements Comparable<AdmissionClass> {
    private static final Comparator<AdmissionClass> BY_PRIORITY =
        Comparator.comparingInt(AdmissionClass::priority).thenComparing(AdmissionClass::source);

    static AdmissionClass of(AdmissionRequest request) {
      return new AdmissionClass(request.priority(), request.source());
    }

    @Override
    public int compareTo(AdmissionClass other) {
      return BY_PRIORITY.compare(this, other);
    }
  }

  /** Waiting requests of one class and the share of its recent requests that were sent. */
  private static final class ClassQueue {
    final FairQueue flows = new FairQueue();
    final ServedShare share;

    ClassQueue(long nowMillis) {
      this.share = new ServedShare(nowMillis);
    }
  }

  /** Includes empty queues, since their shares still count. There are few priorities. */
  private final TreeMap<AdmissionClass, ClassQueue> queues = new TreeMap<>();

  private final ServedShare overallShare;
  private int size;

  AdmissionQueue(long nowMillis) {
    this.overallShare = new ServedShare(nowMillis);
  }

  /** Counts an arrived request in the shares, whether it waits or not. */
  void onArrived(AdmissionRequest request, long nowMillis) {
    queues
        .computeIfAbsent(AdmissionClass.of(request), admissionClass -> new ClassQueue(nowMillis))
        .share
        .onArrived(nowMillis);
    overallShare.onArrived(nowMillis);
  }

  /** Counts a sent request in the shares, whether it waited or not. */
  void onSent(AdmissionRequest request, long nowMillis) {
    queues.get(AdmissionClass.of(request)).share.onSent(nowMillis);
    overallShare.onSent(nowMillis);
  }

  /** Adds a request, for which {@link #onArrived} was called before. */
  void add(AdmissionRequest request) {
    queues.get(AdmissionClass.of(request)).flows.add(request);
    size++;
  }

  /** Removes a request that was not served. */
  void remove(AdmissionRequest request) {
    FairQueue flows = queues.get(AdmissionClass.of(request)).flows;
    int before = flows.size();
    flows.remove(request);
    size -= before - flows.size();
  }

  /**
   * Removes and returns the next request among the sources that have a free slot; empty if there is
   * none.
   */
  Optional<AdmissionRequest> poll(Predicate<Source> hasFreeSlot, long nowMillis) {
    List<ClassQueue> available =
        queues.entrySet().stream()
            .filter(each -> hasFreeSlot.test(each.getKey().source()))
            .map(Map.Entry::getValue)
            .filter(queue -> queue.flows.size() > 0)
            .toList();
    Optional<ClassQueue> next =
        available.stream()
            .filter(queue -> isStarving(queue, nowMillis))
            .min(Comparator.comparingDouble(queue -> queue.share.current(nowMillis)))
            .or(() -> available.stream().findFirst());
    next.ifPresent(queue -> size--);
    return next.map(queue -> queue.flows.poll());
  }

  private boolean isStarving(ClassQueue queue, long nowMillis) {
    return queue.share.current(nowMillis)
        < STARVING_FRACTION_OF_OVERALL_SHARE * overallShare.current(nowMillis);
  }

  /**
   * Estimates the number of waiting requests that go before this one, which need not be in the
   * queue. Other classes that are starving are not considered.
   */
  int countAhead(AdmissionRequest request, long nowMillis) {
    AdmissionClass admissionClass = AdmissionClass.of(request);
    ClassQueue own = queues.get(admissionClass);
    int aheadInClass = own.flows.countAhead(request);
    if (isStarving(own, nowMillis)) {
      return aheadInClass;
    }
    int aheadInOtherClasses =
        queues.headMap(admissionClass).values().stream().mapToInt(e -> e.flows.size()).sum();
    return aheadInClass + aheadInOtherClasses;
  }

  /**
   * Returns all waiting requests, each with the number of requests ahead of it as computed by
   * {@link #countAhead}.
   */
  List<FairQueue.QueuePosition> positions(long nowMillis) {
    List<FairQueue.QueuePosition> positions = new ArrayList<>(size);
    int aheadInOtherClasses = 0;
    for (ClassQueue queue : queues.values()) {
      queue.flows.addPositions(isStarving(queue, nowMillis) ? 0 : aheadInOtherClasses, positions);
      aheadInOtherClasses += queue.flows.size();
    }
    return positions;
  }

  /**
   * Returns the request to reject when the queue is full: the one with the latest deadline in the
   * longest flow of the least urgent class.
   */
  AdmissionRequest firstToReject() {
    return queues.descendingMap().values().stream()
        .filter(queue -> queue.flows.size() > 0)
        .findFirst()
        .orElseThrow()
        .flows
        .lastOfLongestFlow();
  }

  /** Returns all waiting requests, ordered by class. */
  List<AdmissionRequest> all() {
    return queues.values().stream().flatMap(queue -> queue.flows.all()).toList();
  }

  int size() {
    return size;
  }
}
