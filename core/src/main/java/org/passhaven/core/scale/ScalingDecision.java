package org.passhaven.core.scale;

import java.util.Map;

/**
 * Orders that are to be changed.
 *
 * @param orders number of servers to order, by zone
 * @param reason why they are ordered; meaningless if there are no orders
 * @param expected servers that are or will soon be there
 * @param wanted servers that are to be there
 */
public record ScalingDecision(
    Map<String, Integer> orders, Reason reason, int expected, int wanted) {
  /** Reason of an order. */
  public enum Reason {
    /** Servers drain or are gone. */
    REPLACEMENT,
    /** More items are open than the servers can finish in time. */
    BACKLOG,
    /** An unanswered order is for fewer servers than are there now. */
    OUTGROWN,
    /** An accepted order was not carried out. */
    NOT_DELIVERED
  }

  public ScalingDecision {
    orders = Map.copyOf(orders);
  }

  /** Returns whether no order is to be changed. */
  public boolean isEmpty() {
    return orders.isEmpty();
  }
}
