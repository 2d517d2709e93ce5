package org.passhaven.core.scale;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;
import org.passhaven.protocol.duty.DutyRecord.ScalingFigures;
import org.passhaven.protocol.duty.ServiceFigures;

/**
 * The orders for servers that stand according to the log, and this node's changes to them that are
 * not in the log yet. An order may be sent only once all changes were read back, so that a
 * successor knows of each order that may be under way. Not thread-safe.
 */
public final class ScalingOrders {
  /** What an order is about. */
  public record Subject(String service, String zone) {
    public Subject {
      Objects.requireNonNull(service, "service");
      Objects.requireNonNull(zone, "zone");
    }
  }

  private record Writer(long epoch, String node, long incarnation) {}

  /** An order to send. */
  public record Due(Subject subject, ServiceFigures.Order order) {}

  private static final ServiceFigures NO_FIGURES = new ServiceFigures(0, Map.of());
  private Map<String, ServiceFigures> recorded = Map.of();
  private Map<String, ServiceFigures> current = Map.of();

  /** Highest floors read; a record with a lower one is corrected by the next. */
  private final Map<String, Integer> floors = new HashMap<>();

  /** Numbers of the newest records read, since a writer's records may arrive out of order. */
  private final Map<Writer, Long> lastNumbers = new HashMap<>();

  /**
   * Applies a record of the lease holder; one that is not newer than the last of the same writer is
   * ignored.
   *
   * @param epoch epoch of the newest claim of the lease
   * @param isOwn whether this incarnation of this node wrote the record
   * @return whether the record was applied
   */
  public boolean onRecord(ScalingFigures record, long epoch, boolean isOwn) {
    if (record.epoch() < epoch) {
      return false;
    }
    Writer writer = new Writer(record.epoch(), record.node(), record.incarnation());
    Long before = lastNumbers.get(writer);
    if (before != null && record.number() <= before) {
      return false;
    }
    lastNumbers.keySet().removeIf(known -> known.epoch() < epoch);
    lastNumbers.put(writer, record.number());
    recorded = record.services();
    recorded.forEach((service, figures) -> floors.merge(service, figures.floor(), Math::max));
    if (!isOwn) {
      reset();
    }
    return true;
  }

  /** Discards the changes that are not in the log, since this node is not the holder any more. */
  public void reset() {
    current = recorded;
    floors.forEach(this::raiseFloor);
  }

  /** Returns whether all changes were read back from the log. */
  public boolean isRecorded() {
    return current.equals(recorded);
  }

  /** Returns the figures of all services, with this node's changes. */
  public Map<String, ServiceFigures> figures() {
    return current;
  }

  /** Returns the figures of a service, with this node's changes. */
  public ServiceFigures of(String service) {
    return current.getOrDefault(service, NO_FIGURES);
  }

  /**
   * Raises the total number of servers that a service is kept at; does nothing if it is not higher.
   */
  public void raiseFloor(String service, int floor) {
    ServiceFigures before = of(service);
    if (floor > before.floor()) {
      put(service, new ServiceFigures(floor, before.zones()));
    }
  }

  /** Changes an order; it is due once the change was recorded. */
  public void order(Subject subject, int servers) {
    ServiceFigures.Order before = of(subject.service()).zones().get(subject.zone());
    // Zero marks the order as not accepted, so that one which is given again is sent again.
    int accepted = before == null || before.accepted() == servers ? 0 : before.accepted();
    put(subject, new ServiceFigures.Order(servers, accepted));
  }

  /** Records that the platform has accepted an order. */
  public void onAccepted(Subject subject, int servers) {
    put(subject, new ServiceFigures.Order(servers, servers));
  }

  /** Takes back an order that can't be carried out; the one accepted before stands. */
  public void withdraw(Subject subject) {
    ServiceFigures.Order order = of(subject.service()).zones().get(subject.zone());
    if (order != null) {
      put(
          subject,
          order.accepted() == 0
              ? null
              : new ServiceFigures.Order(order.accepted(), order.accepted()));
    }
  }

  private void put(Subject subject, ServiceFigures.Order order) {
    put(subject.service(), of(subject.service()).with(subject.zone(), order));
  }

  private void put(String service, ServiceFigures figures) {
    Map<String, ServiceFigures> changed = new HashMap<>(current);
    changed.put(service, figures);
    current = Map.copyOf(changed);
  }

  /** Returns the orders that the platform has not accepted, in a fixed order. */
  public List<Due> due() {
    return current.entrySet().stream()
        .flatMap(
            service ->
                service.getValue().zones().entrySet().stream()
                    .filter(zone -> !zone.getValue().wasAccepted())
                    .map(
                        zone ->
                            new Due(new Subject(service.getKey(), zone.getKey()), zone.getValue())))
        .sorted(
            Comparator.comparing((Due due) -> due.subject().service())
                .thenComparing(due -> due.subject().zone()))
        .toList();
  }

  /** Returns the first order to send that may be sent now; empty if there is none. */
  public Optional<Due> nextToSend(Predicate<Due> maySend) {
    return isRecorded() ? due().stream().filter(maySend).findFirst() : Optional.empty();
  }
}
