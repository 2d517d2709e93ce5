package org.passhaven.core.coldstart;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.route.RequestLimits;
import org.passhaven.core.route.Route;
import org.passhaven.core.route.RouteTable;
import org.passhaven.core.route.ServiceShare;
import org.passhaven.core.service.ColdStart;
import org.passhaven.core.service.ServiceSpec;
import org.passhaven.core.tenant.TenantTable;
import org.passhaven.protocol.member.MemberBeat;

/** Guards against requests beyond this node's share of a cold server's load limit. */
class ColdStartLimiterTest {
  private static final long KNOWN_AT_MILLIS = ColdStartShares.RAISE_DELAY_MILLIS;

  /** At ten a second, of which four fifths are shared out. */
  private static final long INTERVAL_MILLIS = 125;

  private final ColdStartShares shares = new ColdStartShares("a");
  private final ColdStartLimiter limiter =
      new ColdStartLimiter(shares, bound -> (int) (randomPart() * bound));
  private boolean isMembershipKnown = true;
  private List<MemberBeat> live = List.of();
  private double randomPart;
  private long now;

  private double randomPart() {
    return randomPart;
  }

  private static Route route(String service, Route.Kind kind) {
    List<ServiceShare> services = List.of(new ServiceShare(service, 1));
    return new Route(kind.name(), "h", "/", services, kind, 0, 100, 2, false, false, 0, 0, false);
  }

  private static RouteTable routes(double ratePerSecond, Route... routes) {
    ColdStart limit = new ColdStart(5_000, ratePerSecond);
    return new RouteTable(
        1,
        List.of(routes),
        RequestLimits.DEFAULT,
        TenantTable.NONE,
        Map.of("app", new ServiceSpec("app", Optional.of(limit), Optional.empty())));
  }

  private static ServerEntry entry(long startMillis, long coldMillis) {
    return new ServerEntry(
        new ServerIncarnation("s", startMillis), "app", "s:1", "z", 6, true, Map.of(), coldMillis);
  }

  private static MemberBeat heartbeat(String node, double requestsPerSecond, int runs) {
    return new MemberBeat(node, node, "z", 1, true, requestsPerSecond, 500, 0, 0, List.of(), runs);
  }

  @BeforeEach
  void configure() {
    limiter.configure(routes(10, route("app", Route.Kind.REPEATABLE)));
    limiter.trustSharesWhile(() -> isMembershipKnown);
  }

  /** Advances the time; the heartbeats are read each half second. */
  private void advance(long toMillis) {
    sends(null, toMillis);
  }

  /** Advances the time and returns when a node sends that always has a request. */
  private List<Long> sends(ServerEntry server, long toMillis) {
    List<Long> sent = new ArrayList<>();
    for (; now < toMillis; now++) {
      if (now % 500 == 0 && !live.isEmpty()) {
        shares.onHeartbeats(live, now);
      }
      if (server != null && limiter.maySend(server, now)) {
        limiter.onSent(server, now);
        sent.add(now);
      }
    }
    return sent;
  }

  @Test
  void requestsAreAnIntervalApartAlsoAfterAPause() {
    ServerEntry server = entry(1, 20_000);
    limiter.onEntry(server, 0);
    live = List.of(heartbeat("a", 1, 0));
    assertThat(
        sends(server, KNOWN_AT_MILLIS + 300),
        contains(KNOWN_AT_MILLIS, KNOWN_AT_MILLIS + INTERVAL_MILLIS, KNOWN_AT_MILLIS + 250));
    advance(4_000);
    assertThat(sends(server, 4_200), contains(4_000L, 4_000 + INTERVAL_MILLIS));
  }

  @Test
  void theFirstRequestWaitsForARandomPartOfAnInterval() {
    randomPart = 0.5;
    ServerEntry server = entry(1, 20_000);
    limiter.onEntry(server, 0);
    live = List.of(heartbeat("a", 1, 0), heartbeat("b", 1, 0));
    assertThat(sends(server, 3_000).get(0), equalTo(KNOWN_AT_MILLIS + INTERVAL_MILLIS));
  }

  @Test
  void theRateIsTheShareOfTheHeartbeats() {
    ServerEntry server = entry(1, 20_000);
    limiter.onEntry(server, 0);
    live = List.of(heartbeat("a", 1, 0), heartbeat("b", 3, 0));
    assertThat(sends(server, 3_000), contains(2_000L, 2_500L));
  }

  @Test
  void theShareOfAServiceOfJobsIsThatOfTheRuns() {
    limiter.configure(routes(10, route("app", Route.Kind.JOBS)));
    ServerEntry server = entry(1, 20_000);
    limiter.onEntry(server, 0);
    live = List.of(heartbeat("a", 0, 1), heartbeat("b", 9, 3));
    assertThat(sends(server, 3_000), contains(2_000L, 2_500L));
  }

  @Test
  void aServiceOfJobsAndRequestsIsSharedHalfByEither() {
    limiter.configure(
        routes(10, route("app", Route.Kind.JOBS), route("app", Route.Kind.REPEATABLE)));
    ServerEntry server = entry(1, 20_000);
    limiter.onEntry(server, 0);
    live = List.of(heartbeat("a", 0, 1), heartbeat("b", 9, 1));
    assertThat(sends(server, 3_000), contains(2_000L, 2_500L));
  }

  @Test
  void aHigherShareCountsLateAndALowerOneAtOnce() {
    ServerEntry server = entry(1, 20_000);
    limiter.onEntry(server, 0);
    live = List.of(heartbeat("a", 0, 0), heartbeat("b", 1, 0));
    advance(3_000);
    live = List.of(heartbeat("a", 1, 0), heartbeat("b", 0, 0));
    assertThat(sends(server, 5_000), empty());
    assertThat(sends(server, 5_100), contains(5_000L));
    advance(6_000);
    live = List.of(heartbeat("a", 0, 0), heartbeat("b", 1, 0));
    assertThat(sends(server, 8_000), empty());
  }

  @Test
  void onlyTheNodesOfGreatestWeightHaveAShare() {
    ServerEntry server = entry(1, 20_000);
    limiter.onEntry(server, 0);
    List<MemberBeat> others = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      others.add(heartbeat("o" + i, 2, 0));
    }
    live = new ArrayList<>(others);
    live.add(heartbeat("a", 1, 0));
    assertThat(sends(server, 4_000), empty());
    live.remove(0);
    assertThat(sends(server, 8_000), contains(6_000L, 7_875L));
  }

  @Test
  void aShareThatComesBackBeginsWithARandomPartOfAnInterval() {
    randomPart = 0.5;
    ServerEntry server = entry(1, 20_000);
    limiter.onEntry(server, 0);
    live = List.of(heartbeat("a", 1, 0), heartbeat("b", 1, 0));
    advance(2_000);
    assertThat(sends(server, 3_000).get(0), equalTo(KNOWN_AT_MILLIS + INTERVAL_MILLIS));
    live = List.of(heartbeat("a", 0, 0), heartbeat("b", 1, 0));
    sends(server, 6_000);
    live = List.of(heartbeat("a", 1, 0), heartbeat("b", 1, 0));
    assertThat(sends(server, 9_000).get(0), equalTo(8_000 + INTERVAL_MILLIS));
  }

  @Test
  void nothingIsSentBeforeHeartbeatsWereReadForAWhile() {
    ServerEntry server = entry(1, 20_000);
    limiter.onEntry(server, 0);
    live = List.of(heartbeat("a", 1, 0));
    assertThat(sends(server, KNOWN_AT_MILLIS), empty());
  }

  @Test
  void nothingIsSentAfterHeartbeatsStoppedAndAWhileAfterTheirReturn() {
    ServerEntry server = entry(1, 20_000);
    limiter.onEntry(server, 0);
    live = List.of(heartbeat("a", 1, 0));
    advance(3_000);
    live = List.of();
    advance(2_501 + KNOWN_AT_MILLIS);
    assertThat(sends(server, 9_000), empty());
    live = List.of(heartbeat("a", 1, 0));
    assertThat(sends(server, 9_000 + KNOWN_AT_MILLIS), empty());
    assertThat(sends(server, 9_001 + KNOWN_AT_MILLIS), contains(9_000 + KNOWN_AT_MILLIS));
  }

  @Test
  void nothingIsSentWhileTheMembershipIsUnknown() {
    ServerEntry server = entry(1, 20_000);
    limiter.onEntry(server, 0);
    live = List.of(heartbeat("a", 1, 0));
    advance(3_000);
    isMembershipKnown = false;
    assertThat(sends(server, 3_500), empty());
  }

  @Test
  void theNewestEntryTellsHowLongAServerIsCold() {
    assertThat(
        limiter.onEntry(entry(1, 5_000), 0), equalTo(Optional.of(ColdStartLimiter.Change.COLD)));
    assertThat(limiter.onEntry(entry(1, 4_000), 1_500), equalTo(Optional.empty()));
    assertThat(limiter.isLimited(entry(1, 0), 5_499), is(true));
    assertThat(limiter.isLimited(entry(1, 0), 5_500), is(false));
    assertThat(
        limiter.onEntry(entry(1, 3_000), 9_000),
        equalTo(Optional.of(ColdStartLimiter.Change.COLD)));
    assertThat(
        limiter.onEntry(entry(1, 0), 10_000), equalTo(Optional.of(ColdStartLimiter.Change.WARM)));
    assertThat(limiter.maySend(entry(1, 0), 10_000), is(true));
  }

  @Test
  void aServerThatTurnsColdAgainIsStillPaced() {
    ServerEntry server = entry(1, 2_500);
    limiter.onEntry(server, 0);
    live = List.of(heartbeat("a", 1, 0));
    advance(2_450);
    assertThat(sends(server, 2_500), contains(2_450L));
    limiter.onEntry(server, 2_500);
    assertThat(limiter.maySend(server, 2_500), is(false));
  }

  @Test
  void aNewIncarnationIsColdByItsOwnEntryOnly() {
    limiter.onEntry(entry(1, 5_000), 0);
    assertThat(limiter.isLimited(entry(2, 0), 10), is(false));
    limiter.onEntry(entry(2, 5_000), 20);
    assertThat(limiter.isLimited(entry(2, 5_000), 30), is(true));
  }

  @Test
  void servicesWithoutALimitGetAllRequests() {
    limiter.configure(
        new RouteTable(2, List.of(), RequestLimits.DEFAULT, TenantTable.NONE, Map.of()));
    ServerEntry server = entry(1, 20_000);
    limiter.onEntry(server, 0);
    assertThat(limiter.isInUse(), is(false));
    assertThat(limiter.maySend(server, 0), is(true));
    limiter.onSent(server, 0);
    assertThat(limiter.maySend(server, 0), is(true));
  }
}
