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
 * Requests that wait for a place at a service. The first rank goes first, and in it callers before
 * scorings, which have seconds. A rank or source of which a far smaller share than of all was sent
 * lately goes before that, so that none starves, and no further than that, so that a less urgent
 * one is not served more often than a more urgent one. Times in monotonic milliseconds. Not
 * thread-safe.
 */
final class AdmissionQueue {
  /** Part of the share that all get; the users' least is a quarter, and half keeps away from it. */
  private static final double FLOOR_PART = 0.5;

  private record Order(int priority, Source source) implements Comparable<Order> {
    private static final Comparator<Order> BY_RANK =
        Comparator.comparingInt(Order::priority).thenComparing(Order::source);

    static Order of(AdmissionRequest request) {
      return new Order(request.priority(), request.source());
    }

    @Override
    public int compareTo(Order other) {
      return BY_RANK.compare(this, other);
    }
  }

  private static final class Line {
    final FairQueue flows = new FairQueue();
    final ServedShare share;

    Line(long nowMillis) {
      this.share = new ServedShare(nowMillis);
    }
  }

  /** As many as there are ranks; kept when empty, since their shares count on. */
  private final TreeMap<Order, Line> lines = new TreeMap<>();

  private final ServedShare shareOfAll;
  private int size;

  AdmissionQueue(long nowMillis) {
    this.shareOfAll = new ServedShare(nowMillis);
  }

  /** A request has come, whether it is to wait or not. */
  void onCame(AdmissionRequest request, long nowMillis) {
    lines.computeIfAbsent(Order.of(request), order -> new Line(nowMillis)).share.onCame(nowMillis);
    shareOfAll.onCame(nowMillis);
  }

  /** A request was sent, whether it waited or not. */
  void onSent(AdmissionRequest request, long nowMillis) {
    lines.get(Order.of(request)).share.onSent(nowMillis);
    shareOfAll.onSent(nowMillis);
  }

  /** A request that has come is to wait. */
  void add(AdmissionRequest request) {
    lines.get(Order.of(request)).flows.add(request);
    size++;
  }

  /** Takes a request out without having served it. */
  void remove(AdmissionRequest request) {
    FairQueue flows = lines.get(Order.of(request)).flows;
    int before = flows.size();
    flows.remove(request);
    size -= before - flows.size();
  }

  /** Takes out whose turn it is among those of sources that have a place. */
  Optional<AdmissionRequest> poll(Predicate<Source> hasPlace, long nowMillis) {
    List<Line> open =
        lines.entrySet().stream()
            .filter(each -> hasPlace.test(each.getKey().source()))
            .map(Map.Entry::getValue)
            .filter(line -> line.flows.size() > 0)
            .toList();
    Optional<Line> turn =
        open.stream()
            .filter(line -> isPassedOver(line, nowMillis))
            .min(Comparator.comparingDouble(line -> line.share.now(nowMillis)))
            .or(() -> open.stream().findFirst());
    turn.ifPresent(line -> size--);
    return turn.map(line -> line.flows.poll());
  }

  private boolean isPassedOver(Line line, long nowMillis) {
    return line.share.now(nowMillis) < FLOOR_PART * shareOfAll.now(nowMillis);
  }

  /** How many have their turn before this request, which may wait already or not. */
  int ahead(AdmissionRequest request, long nowMillis) {
    Order order = Order.of(request);
    Line own = lines.get(order);
    int inLine = own.flows.ahead(request);
    if (isPassedOver(own, nowMillis)) {
      return inLine;
    }
    int before = lines.headMap(order).values().stream().mapToInt(e -> e.flows.size()).sum();
    return inLine + before;
  }

  /** All that wait, and how many have their turn before each, as {@link #ahead} tells. */
  List<FairQueue.Turn> turns(long nowMillis) {
    List<FairQueue.Turn> turns = new ArrayList<>(size);
    int before = 0;
    for (Line line : lines.values()) {
      line.flows.addTurns(isPassedOver(line, nowMillis) ? 0 : before, turns);
      before += line.flows.size();
    }
    return turns;
  }

  /** Who has to go first: of the last rank and source, the latest of the flow that has most. */
  AdmissionRequest leastEntitled() {
    return lines.descendingMap().values().stream()
        .filter(line -> line.flows.size() > 0)
        .findFirst()
        .orElseThrow()
        .flows
        .lastOfLongest();
  }

  /** All that wait, those that go first before the others. */
  List<AdmissionRequest> all() {
    return lines.values().stream().flatMap(line -> line.flows.all()).toList();
  }

  int size() {
    return size;
  }
}
