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
    long total = route.shares().stream().mapToLong(ServiceShare::weight).sum();
    Map<String, Long> credits =
        creditByRoute.computeIfAbsent(route.name(), name -> firstCredits(route, total));
    ServiceShare chosen = null;
    for (ServiceShare share : route.shares()) {
      long credit = credits.merge(share.service(), share.weight(), Long::sum);
      if (chosen == null || credit > credits.get(chosen.service())) {
        chosen = share;
      }
    }
    credits.merge(chosen.service(), -total, Long::sum);
    return chosen.service();
  }

  private Map<String, Long> firstCredits(Route route, long total) {
    Map<String, Long> credits = new HashMap<>();
    int bound = (int) Math.max(1, Math.min(Integer.MAX_VALUE, total));
    route.shares().forEach(share -> credits.put(share.service(), 0L));
    credits.put(route.shares().get(0).service(), (long) -randomBelow.applyAsInt(bound));
    return credits;
  }
}
