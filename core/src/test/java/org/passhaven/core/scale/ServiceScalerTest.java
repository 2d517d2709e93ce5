package org.passhaven.core.scale;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.scale.ScalingDecision.Reason;
import org.passhaven.core.service.Scaling;
import org.passhaven.core.service.ServiceSpec;
import org.passhaven.protocol.duty.ServiceFigures;

class ServiceScalerTest {
  private static final long TICK_MILLIS = 500;
  private static final ServiceSpec SERVICE =
      new ServiceSpec(
          "llm",
          Optional.empty(),
          Optional.of(
              new Scaling(1, 6, 4_000, OptionalDouble.of(0.2), Map.of("a", 0.8, "b", 1.2))));
  private final ServiceScaler scaler = new ServiceScaler(new BacklogPolicy());
  private final Map<String, ServerEntry> servers = new TreeMap<>();
  private ServiceFigures figures = new ServiceFigures(0, Map.of());
  private Set<String> blocked = Set.of();
  private int openItems;
  private int finishedPerTick;
  private long now;
  private ScalingDecision decision;

  private void put(String id, String zone, boolean ready) {
    servers.put(
        id, new ServerEntry(ServerIncarnation.of(id), "llm", "h:1", zone, 4, ready, Map.of()));
  }

  /** Lets time pass until an order is due; returns whether there was one. */
  private boolean advance(long millis) {
    for (long end = now + millis; now < end; ) {
      now += TICK_MILLIS;
      scaler.onFinished(finishedPerTick);
      scaler.observe(servers.values(), openItems, figures, now);
      decision = scaler.decide(SERVICE, figures, blocked, openItems, now);
      if (!decision.isEmpty()) {
        return true;
      }
    }
    return false;
  }

  private void startWithTwoServersInEachZone() {
    for (String zone : Set.of("a", "b", "c")) {
      put(zone + "1", zone, true);
      put(zone + "2", zone, true);
    }
    assertThat(advance(4_000), equalTo(false));
    assertThat(scaler.settledServers(figures, now), equalTo(OptionalInt.empty()));
    advance(3_000);
    assertThat(scaler.settledServers(figures, now), equalTo(OptionalInt.of(6)));
    figures = new ServiceFigures(6, Map.of());
  }

  private void accept() {
    decision
        .orders()
        .forEach(
            (zone, count) -> figures = figures.with(zone, new ServiceFigures.Order(count, count)));
    scaler.onOrdered(decision.reason(), now);
  }

  @Test
  void nothingIsOrderedInCalm() {
    startWithTwoServersInEachZone();
    assertThat(advance(300_000), equalTo(false));
  }

  @Test
  void aDrainingServerIsReplacedElsewhereAtOnce() {
    startWithTwoServersInEachZone();
    put("a1", "a", false);
    assertThat(advance(TICK_MILLIS), equalTo(true));
    assertThat(decision.orders(), equalTo(Map.of("c", 3)));
    assertThat(decision.reason(), equalTo(Reason.REPLACEMENT));
    accept();
    servers.remove("a1");
    assertThat(advance(5_000), equalTo(false));
    put("c3", "c", true);
    assertThat(advance(300_000), equalTo(false));
  }

  @Test
  void lossesAreSpreadOverTheZonesThatHaveServers() {
    startWithTwoServersInEachZone();
    put("a1", "a", false);
    put("a2", "a", false);
    advance(TICK_MILLIS);
    assertThat(decision.orders(), equalTo(Map.of("b", 3, "c", 3)));
    blocked = Set.of("b");
    advance(TICK_MILLIS);
    assertThat(decision.orders(), equalTo(Map.of("c", 4)));
  }

  @Test
  void entriesThatReturnSoonAreNotReplaced() {
    startWithTwoServersInEachZone();
    servers.remove("a1");
    servers.remove("b1");
    assertThat(advance(2_500), equalTo(false));
    put("a1", "a", true);
    put("b1", "b", true);
    assertThat(advance(10_000), equalTo(false));
  }

  @Test
  void anOrderNeverTakesAwayServersThatVanishedWithoutAWord() {
    startWithTwoServersInEachZone();
    servers.remove("c1");
    blocked = Set.of("a", "b");
    assertThat(advance(5_000), equalTo(true));
    assertThat(decision.orders(), equalTo(Map.of("c", 3)));
  }

  @Test
  void anAcceptedOrderThatIsNotCarriedOutIsRepeatedUnchanged() {
    startWithTwoServersInEachZone();
    put("a1", "a", false);
    advance(TICK_MILLIS);
    accept();
    assertThat(advance(9_500), equalTo(false));
    assertThat(advance(1_000), equalTo(true));
    assertThat(decision.reason(), equalTo(Reason.NOT_DELIVERED));
    assertThat(decision.orders(), equalTo(Map.of("c", 3)));
    blocked = Set.of("c");
    advance(TICK_MILLIS);
    assertThat(decision.reason(), equalTo(Reason.REPLACEMENT));
    assertThat(decision.orders(), equalTo(Map.of("b", 3)));
  }

  @Test
  void whileAnOrderIsNotAcceptedNoOtherIsAdded() {
    startWithTwoServersInEachZone();
    put("a1", "a", false);
    advance(TICK_MILLIS);
    figures = figures.with("c", new ServiceFigures.Order(3, 0));
    put("b1", "b", false);
    assertThat(advance(60_000), equalTo(false));
  }

  @Test
  void serversNeededAfterTheLossOfAZoneAreKept() {
    startWithTwoServersInEachZone();
    for (String zone : Set.of("a", "b", "c")) {
      put(zone + "3", zone, true);
    }
    openItems = 24;
    finishedPerTick = 60;
    assertThat(advance(200_000), equalTo(false));
  }

  @Test
  void aBacklogThatTheServersCannotFinishInTimeAddsServersOnce() {
    startWithTwoServersInEachZone();
    openItems = 24;
    finishedPerTick = 6;
    assertThat(advance(20_000), equalTo(false));
    openItems = 72;
    assertThat(advance(3_000), equalTo(true));
    assertThat(decision.reason(), equalTo(Reason.BACKLOG));
    assertThat(decision.orders(), equalTo(Map.of("a", 3, "b", 3, "c", 3)));
    accept();
    assertThat(advance(3_500), equalTo(false));
  }

  @Test
  void withoutAKnownRateABacklogAddsNothing() {
    startWithTwoServersInEachZone();
    openItems = 10_000;
    assertThat(advance(60_000), equalTo(false));
  }

  @Test
  void serversBeyondTheFloorStay() {
    startWithTwoServersInEachZone();
    put("a3", "a", true);
    put("b3", "b", true);
    assertThat(advance(300_000), equalTo(false));
  }

  @Test
  void anUnansweredOrderThatItsZoneHasOutgrownIsReplacedByTheNumberThere() {
    startWithTwoServersInEachZone();
    put("a1", "a", false);
    assertThat(advance(TICK_MILLIS), equalTo(true));
    assertThat(decision.orders(), equalTo(Map.of("c", 3)));
    figures = figures.with("c", new ServiceFigures.Order(3, 0));
    for (String server : Set.of("c3", "c4", "c5")) {
      put(server, "c", true);
    }
    assertThat(advance(TICK_MILLIS), equalTo(true));
    assertThat(decision.orders(), equalTo(Map.of("c", 5)));
  }

  @Test
  void anOrderThatIsRepeatedIsNotForFewerThanTheZoneMayCount() {
    startWithTwoServersInEachZone();
    put("a1", "a", false);
    advance(TICK_MILLIS);
    accept();
    // Two servers come and, with two that were there, vanish without a word.
    put("c4", "c", true);
    now += TICK_MILLIS;
    scaler.observe(servers.values(), openItems, new ServiceFigures(6, Map.of()), now);
    put("c5", "c", true);
    scaler.observe(servers.values(), openItems, new ServiceFigures(6, Map.of()), now);
    for (String server : Set.of("c1", "c2", "c4")) {
      servers.remove(server);
    }
    now += 3_500;
    scaler.observe(servers.values(), openItems, new ServiceFigures(6, Map.of()), now);
    now += 3_500;
    scaler.observe(servers.values(), openItems, figures, now);
    assertThat(advance(11_000), equalTo(true));
    assertThat(decision.reason(), equalTo(Reason.NOT_DELIVERED));
    assertThat(decision.orders(), equalTo(Map.of("c", 4)));
  }
}
