package org.passhaven.core.route;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.IntUnaryOperator;

/**
 * Distributes a route's requests over its services by smooth weighted round robin. Each node starts
 * at a random position, so that many nodes with few requests each match the weights in total. Not
 * thread-safe.
 */
public final class WeightedRoundRobin {
  private static final long MAX_INITIAL_STEPS = 10_000;
  private final IntUnaryOperator randomBelow;
  private final Map<String, Map<String, Long>> creditByRoute = new HashMap<>();

  /**
   * Creates a rotation; {@code randomBelow} returns a random number from zero (inclusive) to its
   * argument (exclusive).
   */
  public WeightedRoundRobin(IntUnaryOperator randomBelow) {
    this.randomBelow = Objects.requireNonNull(randomBelow, "randomBelow");
  }

  /** Returns the service for the next request of the route. */
  public String next(Route route) {
    if (route.shares().size() == 1) {
      return route.shares().get(0).service();
    }
    return step(route, creditByRoute.computeIfAbsent(route.name(), name -> initialCredits(route)));
  }

  private static long totalWeight(Route route) {
    return route.shares().stream().mapToLong(ServiceShare::weight).sum();
  }

  private static String step(Route route, Map<String, Long> credits) {
    ServiceShare chosen = null;
    for (ServiceShare share : route.shares()) {
      long credit = credits.merge(share.service(), share.weight(), Long::sum);
      if (chosen == null || credit > credits.get(chosen.service())) {
        chosen = share;
      }
    }
    credits.merge(chosen.service(), -totalWeight(route), Long::sum);
    return chosen.service();
  }

  /** Returns the credits at a random position of the rotation cycle. */
  private Map<String, Long> initialCredits(Route route) {
    Map<String, Long> credits = new HashMap<>();
    int cycle = (int) Math.max(1, Math.min(MAX_INITIAL_STEPS, totalWeight(route)));
    int steps = randomBelow.applyAsInt(cycle);
    for (int i = 0; i < steps; i++) {
      step(route, credits);
    }
    return credits;
  }
}
