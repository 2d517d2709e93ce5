package org.passhaven.core.admission;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.passhaven.core.admission.AdmissionRequest.Source;

/**
 * Requests that wait for a place at a service. The first rank goes first, and in it callers before
 * scorings, which have seconds; but every {@link #FLOOR_TURN}th turn goes to whoever has been
 * passed over longest, so that no rank and no source starves. Not thread-safe.
 */
final class AdmissionQueue {
  /** The users' least is a quarter of what all get. */
  private static final int FLOOR_TURN = 4;

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
    final TenantQueues tenants = new TenantQueues();
    long lastTurn;
  }

  private final TreeMap<Order, Line> lines = new TreeMap<>();
  private long turns;
  private int size;

  void add(AdmissionRequest request) {
    line(request).tenants.add(request);
    size++;
  }

  private Line line(AdmissionRequest request) {
    return lines.computeIfAbsent(
        Order.of(request),
        order -> {
          Line line = new Line();
          line.lastTurn = turns;
          return line;
        });
  }

  /** Takes a request out without having served it. */
  void remove(AdmissionRequest request) {
    Line line = lines.get(Order.of(request));
    if (line != null) {
      int before = line.tenants.size();
      line.tenants.remove(request);
      size -= before - line.tenants.size();
      forgetEmpty();
    }
  }

  /** Takes out whose turn it is among those of sources that have a place. */
  Optional<AdmissionRequest> poll(Predicate<Source> hasPlace) {
    List<Line> open =
        lines.entrySet().stream()
            .filter(each -> hasPlace.test(each.getKey().source()))
            .map(Map.Entry::getValue)
            .toList();
    if (open.isEmpty()) {
      return Optional.empty();
    }
    turns++;
    Line line =
        turns % FLOOR_TURN == 0
            ? open.stream().min(Comparator.comparingLong(each -> each.lastTurn)).orElseThrow()
            : open.get(0);
    line.lastTurn = turns;
    AdmissionRequest request = line.tenants.poll();
    size--;
    forgetEmpty();
    return Optional.of(request);
  }

  private void forgetEmpty() {
    lines.values().removeIf(line -> line.tenants.size() == 0);
  }

  /** How many waiting requests have their turn before this one, which may wait already or not. */
  int ahead(AdmissionRequest request) {
    Order order = Order.of(request);
    int inLine = lines.containsKey(order) ? lines.get(order).tenants.ahead(request) : 0;
    int before = lines.headMap(order).values().stream().mapToInt(e -> e.tenants.size()).sum();
    int byFloor = FLOOR_TURN * (inLine + 1) - 1;
    return Math.min(inLine + before, byFloor);
  }

  /** Who has to go first: of the last rank and source, the latest of the tenant that has most. */
  AdmissionRequest leastEntitled() {
    return lines.lastEntry().getValue().tenants.lastOfLongest();
  }

  /** All that wait, those that go first before the others. */
  List<AdmissionRequest> all() {
    return lines.values().stream().flatMap(line -> line.tenants.all()).toList();
  }

  int size() {
    return size;
  }
}
