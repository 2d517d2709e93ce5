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
 * Requests that wait for a place at a service, in strict order of priority; within one priority
 * callers go before scorings, which can wait for seconds. Starvation is prevented by a minimum: a
 * class (priority and source) whose share of sent requests has fallen far below the share of all
 * requests goes first until it has recovered, and no further, so that a less urgent class is never
 * served better than a more urgent one. Times in monotonic milliseconds. Not thread-safe.
 */
final class AdmissionQueue {
  /**
   * A class is starving below this part of the share of all requests. The platform's rules ask for
   * a quarter; half leaves a margin.
   */
  private static final double STARVING_PART_OF_SHARE = 0.5;

  /** Requests of one priority and source; the first one by this order goes first. */
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

  /** Waiting requests of one class, and how many of its requests were sent lately. */
  private static final class ClassQueue {
    final FairQueue flows = new FairQueue();
    final ServedShare share;

    ClassQueue(long nowMillis) {
      this.share = new ServedShare(nowMillis);
    }
  }

  /** Empty ones are kept, since their shares still count. There are few priorities. */
  private final TreeMap<AdmissionClass, ClassQueue> queues = new TreeMap<>();

  private final ServedShare shareOfAll;
  private int size;

  AdmissionQueue(long nowMillis) {
    this.shareOfAll = new ServedShare(nowMillis);
  }

  /** A request has arrived; it counts for the shares whether it waits or not. */
  void onCame(AdmissionRequest request, long nowMillis) {
    queues
        .computeIfAbsent(AdmissionClass.of(request), admissionClass -> new ClassQueue(nowMillis))
        .share
        .onCame(nowMillis);
    shareOfAll.onCame(nowMillis);
  }

  /** A request was sent; it counts for the shares whether it waited or not. */
  void onSent(AdmissionRequest request, long nowMillis) {
    queues.get(AdmissionClass.of(request)).share.onSent(nowMillis);
    shareOfAll.onSent(nowMillis);
  }

  /** Adds a request; {@link #onCame} was called for it before. */
  void add(AdmissionRequest request) {
    queues.get(AdmissionClass.of(request)).flows.add(request);
    size++;
  }

  /** Takes a request out without having served it. */
  void remove(AdmissionRequest request) {
    FairQueue flows = queues.get(AdmissionClass.of(request)).flows;
    int before = flows.size();
    flows.remove(request);
    size -= before - flows.size();
  }

  /** Removes the next request among those whose source has a place; empty if there is none. */
  Optional<AdmissionRequest> poll(Predicate<Source> hasPlace, long nowMillis) {
    List<ClassQueue> open =
        queues.entrySet().stream()
            .filter(each -> hasPlace.test(each.getKey().source()))
            .map(Map.Entry::getValue)
            .filter(queue -> queue.flows.size() > 0)
            .toList();
    Optional<ClassQueue> turn =
        open.stream()
            .filter(queue -> isStarving(queue, nowMillis))
            .min(Comparator.comparingDouble(queue -> queue.share.now(nowMillis)))
            .or(() -> open.stream().findFirst());
    turn.ifPresent(queue -> size--);
    return turn.map(queue -> queue.flows.poll());
  }

  private boolean isStarving(ClassQueue queue, long nowMillis) {
    return queue.share.now(nowMillis) < STARVING_PART_OF_SHARE * shareOfAll.now(nowMillis);
  }

  /** How many waiting requests go before this one, which need not be in the queue. */
  int ahead(AdmissionRequest request, long nowMillis) {
    AdmissionClass admissionClass = AdmissionClass.of(request);
    ClassQueue own = queues.get(admissionClass);
    int aheadInClass = own.flows.ahead(request);
    if (isStarving(own, nowMillis)) {
      return aheadInClass;
    }
    int before =
        queues.headMap(admissionClass).values().stream().mapToInt(e -> e.flows.size()).sum();
    return aheadInClass + before;
  }

  /** All waiting requests, each with the number ahead of it as {@link #ahead} gives it. */
  List<FairQueue.Turn> turns(long nowMillis) {
    List<FairQueue.Turn> turns = new ArrayList<>(size);
    int before = 0;
    for (ClassQueue queue : queues.values()) {
      queue.flows.addTurns(isStarving(queue, nowMillis) ? 0 : before, turns);
      before += queue.flows.size();
    }
    return turns;
  }

  /**
   * The request to reject when the queue is full: of the last class, the one with the latest
   * deadline in the longest flow.
   */
  AdmissionRequest firstToReject() {
    return queues.descendingMap().values().stream()
        .filter(queue -> queue.flows.size() > 0)
        .findFirst()
        .orElseThrow()
        .flows
        .lastOfLongestFlow();
  }

  /** All waiting requests, in the order of their classes. */
  List<AdmissionRequest> all() {
    return queues.values().stream().flatMap(queue -> queue.flows.all()).toList();
  }

  int size() {
    return size;
  }
}
