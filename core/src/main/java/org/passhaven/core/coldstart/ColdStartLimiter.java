package org.passhaven.core.coldstart;

import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.IntUnaryOperator;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.eligibility.ColdStartLimit;
import org.passhaven.core.route.Route;
import org.passhaven.core.route.RouteTable;

/**
 * Paces this node's requests to cold servers at its share of their load limits. A request is sent
 * at the earliest one interval after the last one, so that a pause allows no burst. Times are in
 * monotonic milliseconds. Not thread-safe.
 */
public final class ColdStartLimiter implements ColdStartLimit {
  /** Part of a server's rate that is shared out; the rest is for nodes whose views differ. */
  private static final double SHARED_PART = 0.8;

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Steps of the random part of an interval that a first request waits for. */
  private static final int PHASE_STEPS = 1_000;

  private static final long NEVER_MILLIS = Long.MAX_VALUE;

  private final ColdStartShares shares;
  private final IntUnaryOperator randomBelow;
  private final Map<String, ServiceLimit> limitByService = new HashMap<>();
  private final Map<String, ColdServer> coldById = new HashMap<>();
  private BooleanSupplier isMembershipKnown = () -> false;

  /** Change of a server that an entry reports. */
  public enum Change {
    /** The server is cold and did not count as cold before; it may be new. */
    COLD,
    /** The server is warm and its last entry was cold. */
    WARM
  }

  /**
   * Load limit of a service's cold servers.
   *
   * @param users whether jobs, other requests or both use the service
   */
  private record ServiceLimit(double requestsPerSecond, Set<User> users) {}

  private enum User {
    JOBS,
    REQUESTS
  }

  /** A cold server and this node's turns there. */
  private static final class ColdServer {
    final ServerIncarnation incarnation;
    final double phase;
    long untilMillis;

    /** Time since which this node has a share; negative if it has none. */
    long shareSinceMillis = -1;

    long lastSentMillis = Long.MIN_VALUE / 2;

    ColdServer(ServerIncarnation incarnation, double phase) {
      this.incarnation = incarnation;
      this.phase = phase;
    }
  }

  /**
   * Creates a limiter without any limit.
   *
   * @param randomBelow returns a random number from zero (inclusive) to the argument (exclusive)
   */
  public ColdStartLimiter(ColdStartShares shares, IntUnaryOperator randomBelow) {
    this.shares = Objects.requireNonNull(shares, "shares");
    this.randomBelow = Objects.requireNonNull(randomBelow, "randomBelow");
  }

  /** Returns a limiter for a fleet without limits. */
  public static ColdStartLimiter none() {
    return new ColdStartLimiter(new ColdStartShares(""), bound -> 0);
  }

  /**
   * Sets the check of whether the view of the heartbeats is current; until it is set, this node has
   * no share.
   */
  public void trustSharesWhile(BooleanSupplier isKnown) {
    isMembershipKnown = Objects.requireNonNull(isKnown, "isKnown");
  }

  /** Applies the limits of a configuration. */
  public void configure(RouteTable routes) {
    limitByService.clear();
    routes
        .services()
        .forEach(
            (name, spec) ->
                spec.coldStart()
                    .ifPresent(
                        limit ->
                            limitByService.put(
                                name,
                                new ServiceLimit(
                                    limit.requestsPerSecond(), usersOf(routes.kindsOf(name))))));
  }

  private static Set<User> usersOf(Set<Route.Kind> kinds) {
    Set<User> users = EnumSet.noneOf(User.class);
    kinds.forEach(kind -> users.add(kind == Route.Kind.JOBS ? User.JOBS : User.REQUESTS));
    return users;
  }

  /** Returns whether any service has a load limit for cold servers. */
  public boolean isInUse() {
    return !limitByService.isEmpty();
  }

  /**
   * Handles an entry of a server. It was written before it was read, so a server counts as cold for
   * longer than it is rather than for shorter. Returns the change if there is one, for the log.
   */
  public Optional<Change> onEntry(ServerEntry entry, long nowMillis) {
    ServerIncarnation incarnation = entry.incarnation();
    ColdServer known = coldById.get(incarnation.id());
    if (entry.coldMillis() == 0) {
      coldById.remove(incarnation.id());
      return known == null ? Optional.empty() : Optional.of(Change.WARM);
    }
    boolean isSame = known != null && known.incarnation.equals(incarnation);
    boolean wasCold = isSame && nowMillis < known.untilMillis;
    ColdServer server = isSame ? known : new ColdServer(incarnation, drawPhase());
    server.untilMillis = nowMillis + entry.coldMillis();
    coldById.put(incarnation.id(), server);
    return wasCold ? Optional.empty() : Optional.of(Change.COLD);
  }

  private double drawPhase() {
    return randomBelow.applyAsInt(PHASE_STEPS) / (double) PHASE_STEPS;
  }

  /** Removes a server that is no longer listed. */
  public void remove(String id) {
    coldById.remove(id);
  }

  /** Keeps only the servers with these ids. */
  public void retain(Set<String> ids) {
    coldById.keySet().retainAll(ids);
  }

  /** Returns whether a service has a load limit for cold servers. */
  public boolean limits(String service) {
    return limitByService.containsKey(service);
  }

  /** Returns whether requests to a server are limited now. */
  public boolean isLimited(ServerEntry server, long nowMillis) {
    return limits(server.service()) && coldServer(server, nowMillis) != null;
  }

  private ColdServer coldServer(ServerEntry server, long nowMillis) {
    ColdServer cold = coldById.get(server.incarnation().id());
    boolean isCold =
        cold != null
            && cold.incarnation.equals(server.incarnation())
            && nowMillis < cold.untilMillis;
    return isCold ? cold : null;
  }

  @Override
  public boolean maySend(ServerEntry server, long nowMillis) {
    return !isLimited(server, nowMillis) || nowMillis >= turnMillis(server, nowMillis);
  }

  /**
   * Returns the time until this node may send a request to a server; empty if it has no share of
   * the server's load limit.
   *
   * @param ahead number of requests that are sent there before it
   */
  public OptionalLong millisUntilTurn(ServerEntry server, int ahead, long nowMillis) {
    if (!isLimited(server, nowMillis)) {
      return OptionalLong.of(0);
    }
    long turnMillis = turnMillis(server, nowMillis);
    if (turnMillis == NEVER_MILLIS) {
      return OptionalLong.empty();
    }
    long intervalMillis = intervalMillis(limitByService.get(server.service()), nowMillis);
    return OptionalLong.of(Math.max(0, turnMillis - nowMillis) + ahead * intervalMillis);
  }

  /**
   * Returns the time of this node's next turn at a server, which must be limited. Also notes since
   * when this node has a share.
   */
  private long turnMillis(ServerEntry server, long nowMillis) {
    ColdServer cold = coldServer(server, nowMillis);
    ServiceLimit limit = limitByService.get(server.service());
    double ratePerSecond = ratePerSecond(limit, nowMillis);
    if (ratePerSecond <= 0) {
      cold.shareSinceMillis = -1;
      return NEVER_MILLIS;
    }
    if (cold.shareSinceMillis < 0) {
      cold.shareSinceMillis = nowMillis;
    }
    long intervalMillis = intervalMillis(limit, nowMillis);
    // Without the random part, all nodes whose shares begin at one time would send at once.
    long firstTurnMillis = cold.shareSinceMillis + (long) (cold.phase * intervalMillis);
    return Math.max(firstTurnMillis, cold.lastSentMillis + intervalMillis);
  }

  /** Returns the time between two turns of this node at a cold server; it must have a share. */
  private long intervalMillis(ServiceLimit limit, long nowMillis) {
    return (long) Math.ceil(MILLIS_PER_SECOND / ratePerSecond(limit, nowMillis));
  }

  /** Returns the rate at which this node may send to each cold server of a service. */
  private double ratePerSecond(ServiceLimit limit, long nowMillis) {
    return limit.requestsPerSecond() * SHARED_PART * shareOf(limit, nowMillis);
  }

  private double shareOf(ServiceLimit limit, long nowMillis) {
    if (limit.users().isEmpty() || !isMembershipKnown.getAsBoolean()) {
      return 0;
    }
    // Jobs and requests get equal parts, so that the shares of all nodes add up to at most one.
    double sum = 0;
    for (User user : limit.users()) {
      sum += user == User.JOBS ? shares.ofRuns(nowMillis) : shares.ofRequests(nowMillis);
    }
    return sum / limit.users().size();
  }

  @Override
  public void onSent(ServerEntry server, long nowMillis) {
    if (!limitByService.isEmpty()) {
      ColdServer cold = coldServer(server, nowMillis);
      if (cold != null) {
        cold.lastSentMillis = nowMillis;
      }
    }
  }
}
