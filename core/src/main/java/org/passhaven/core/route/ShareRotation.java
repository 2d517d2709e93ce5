package org.passhaven.core.route;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.IntUnaryOperator;

/**
 * Deals a route's requests to its services so that each gets its weight's part, evenly spread
 * (smooth weighted round robin). Each node begins at a random place, so that many nodes with few
 * requests each keep the shares together. Not thread-safe.
 */
public final class ShareRotation {
  private static final long MOST_FIRST_STEPS = 10_000;
  private final IntUnaryOperator randomBelow;
  private final Map<String, Map<String, Long>> creditByRoute = new HashMap<>();

  /** Creates a rotation; {@code randomBelow} gives a number from zero to below its argument. */
  public ShareRotation(IntUnaryOperator randomBelow) {
    this.randomBelow = Objects.requireNonNull(randomBelow, "randomBelow");
  }

  /** The service that the next request of the route goes to. */
  public String next(Route route) {
    if (route.shares().size() == 1) {
      return route.shares().get(0).service();
    }
    return step(route, creditByRoute.computeIfAbsent(route.name(), name -> firstCredits(route)));
  }

  private static long total(Route route) {
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
    credits.merge(chosen.service(), -total(route), Long::sum);
    return chosen.service();
  }

  /** Credits at a random place of the rotation's cycle. */
  private Map<String, Long> firstCredits(Route route) {
    Map<String, Long> credits = new HashMap<>();
    int cycle = (int) Math.max(1, Math.min(MOST_FIRST_STEPS, total(route)));
    int steps = randomBelow.applyAsInt(cycle);
    for (int i = 0; i < steps; i++) {
      step(route, credits);
    }
    return credits;
  }
}
