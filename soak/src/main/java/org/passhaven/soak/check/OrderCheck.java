package org.passhaven.soak.check;

import java.util.HashMap;
import java.util.Map;
import org.passhaven.platform.standin.history.NodeObservation.Happening;
import org.passhaven.platform.standin.history.NodeObservation.LinkFaultSet;
import org.passhaven.platform.standin.history.NodeObservation.ProcessEvent;
import org.passhaven.platform.standin.history.Observation;
import org.passhaven.platform.standin.history.ServerObservation.OrderReceived;

/** {@link Promise#ONE_HOLDER}, for back ends that don't check fences. */
final class OrderCheck {
  private final Evidence evidence;
  private final Tally tally;
  private final Map<String, Long> healedMillis = new HashMap<>();
  private final Map<String, Holders> holders = new HashMap<>();

  private OrderCheck(Evidence evidence, Tally tally) {
    this.evidence = evidence;
    this.tally = tally;
  }

  static void judge(Evidence evidence, Tally tally) {
    OrderCheck check = new OrderCheck(evidence, tally);
    evidence.observations().forEach(check::see);
  }

  private void see(Observation observation) {
    if (observation instanceof ProcessEvent event && event.happening() == Happening.CONTINUED) {
      healedMillis.put(event.node(), event.atMillis());
    } else if (observation instanceof LinkFaultSet set && set.fault().isEmpty()) {
      healedMillis.put(set.node(), set.atMillis());
    } else if (observation instanceof OrderReceived order && !isLeftOut(order)) {
      holders.computeIfAbsent(order.instance(), id -> new Holders()).see(order);
    }
  }

  private boolean isLeftOut(OrderReceived order) {
    return isJustHealed(order.owner(), order.atMillis())
        || isJustHealed(TouchTable.ALL, order.atMillis());
  }

  private boolean isJustHealed(String node, long atMillis) {
    Long healed = healedMillis.get(node);
    return healed != null && atMillis <= healed + evidence.bounds().thawMillis();
  }

  /** The holders that gave orders to one back end. */
  private final class Holders {
    private final Map<Long, String> ownersByFence = new HashMap<>();
    private OrderReceived last;
    private long highestFence = Long.MIN_VALUE;

    void see(OrderReceived order) {
      String owner = ownersByFence.computeIfAbsent(order.fence(), fence -> order.owner());
      check(
          owner.equals(order.owner()),
          order,
          "fence " + order.fence() + " is used by " + owner + " and " + order.owner());
      check(
          order.fence() >= highestFence,
          order,
          "fence " + order.fence() + " follows " + highestFence);
      highestFence = Math.max(highestFence, order.fence());
      if (last != null && !last.owner().equals(order.owner())) {
        long gapMillis = order.atMillis() - last.atMillis();
        check(
            gapMillis >= evidence.bounds().leaseMillis(),
            order,
            order.owner() + " orders " + gapMillis + " ms after " + last.owner());
      }
      last = order;
    }

    private void check(boolean isKept, OrderReceived order, String text) {
      tally.check(isKept, order.atMillis(), order.owner(), order.instance(), () -> text);
    }
  }
}
