package org.passhaven.core.scale;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.IntUnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.service.ColdStart;
import org.passhaven.core.service.Scaling;
import org.passhaven.core.service.ServiceSpec;
import org.passhaven.protocol.duty.ServiceFigures;

/** Replays a load of jobs in pulses against policies for the number of servers. */
class ScalingReplayTest {
  private static final int SLOTS = 6;
  private static final int ITEMS_PER_SERVER_SECOND = 10;
  private static final long TICK_MILLIS = 100;
  private static final long PULSE_MILLIS = 4_000;
  private static final long DUE_MILLIS = 7_500;
  private static final long BOOT_MILLIS = 4_000;
  private static final long DURATION_MILLIS = 120_000;
  private static final List<String> ZONES = List.of("a", "b", "c");
  private static final ServiceSpec SERVICE =
      new ServiceSpec(
          "llm",
          Optional.of(new ColdStart(3_000, 5)),
          Optional.of(new Scaling(1, 30, BOOT_MILLIS, OptionalDouble.empty(), Map.of())));

  /** What a replay cost. */
  private record Outcome(int lateItems, long serverSeconds, int orders, int turns) {}

  private static final class Pulse {
    private final long dueMillis;
    private int items;

    private Pulse(long dueMillis, int items) {
      this.dueMillis = dueMillis;
      this.items = items;
    }
  }

  /** Replays the pulses; {@code lostAtMillis} is when a zone's servers drain and leave. */
  private static Outcome replay(
      CapacityPolicy policy, IntUnaryOperator itemsOfPulse, long lostAtMillis) {
    return replay(policy, itemsOfPulse, lostAtMillis, DURATION_MILLIS);
  }

  private static Outcome replay(
      CapacityPolicy policy,
      IntUnaryOperator itemsOfPulse,
      long lostAtMillis,
      long durationMillis) {
    ServiceScaler scaler = new ServiceScaler(policy);
    Map<String, ServerEntry> servers = new HashMap<>();
    Map<ServerEntry, Long> booting = new HashMap<>();
    for (String zone : ZONES) {
      for (int i = 0; i < 10; i++) {
        ServerEntry server = server(zone + i, zone, true);
        servers.put(server.incarnation().id(), server);
      }
    }
    ServiceFigures figures = new ServiceFigures(servers.size(), Map.of());
    Deque<Pulse> pulses = new ArrayDeque<>();
    double credit = 0;
    int late = 0;
    int orders = 0;
    int turns = 0;
    int lastDirection = 0;
    int created = 0;
    double seconds = 0;
    for (long now = 0; now < durationMillis; now += TICK_MILLIS) {
      long time = now;
      if (now % PULSE_MILLIS == 0) {
        pulses.add(
            new Pulse(now + DUE_MILLIS, itemsOfPulse.applyAsInt((int) (now / PULSE_MILLIS))));
      }
      if (now == lostAtMillis) {
        servers.replaceAll((id, s) -> s.zone().equals("a") ? server(id, "a", false) : s);
      } else if (now == lostAtMillis + 3_000) {
        servers.values().removeIf(server -> !server.ready());
      }
      List<ServerEntry> booted = new ArrayList<>();
      booting.forEach(
          (server, atMillis) -> {
            if (atMillis <= time) {
              booted.add(server);
            }
          });
      for (ServerEntry server : booted) {
        booting.remove(server);
        servers.put(server.incarnation().id(), server);
      }
      long ready = servers.values().stream().filter(ServerEntry::ready).count();
      seconds += (servers.size() + booting.size()) * TICK_MILLIS / 1_000.0;
      credit += ready * ITEMS_PER_SERVER_SECOND * TICK_MILLIS / 1_000.0;
      int finished = 0;
      while (credit >= 1 && !pulses.isEmpty()) {
        Pulse first = pulses.peek();
        int done = (int) Math.min(credit, first.items);
        first.items -= done;
        credit -= done;
        finished += done;
        late += now > first.dueMillis ? done : 0;
        if (first.items == 0) {
          pulses.remove();
        }
      }
      credit = pulses.isEmpty() ? 0 : credit;
      int open = pulses.stream().mapToInt(pulse -> pulse.items).sum();
      scaler.onFinished(finished);
      scaler.observe(servers.values(), open, figures, now);
      ScalingDecision decision = scaler.decide(SERVICE, figures, Set.of(), open, now);
      for (Map.Entry<String, Integer> order : decision.orders().entrySet()) {
        String zone = order.getKey();
        orders++;
        figures = figures.with(zone, new ServiceFigures.Order(order.getValue(), order.getValue()));
        long present =
            servers.values().stream().filter(s -> s.ready() && s.zone().equals(zone)).count()
                + booting.keySet().stream().filter(s -> s.zone().equals(zone)).count();
        int direction = Long.signum(order.getValue() - present);
        turns += direction * lastDirection < 0 ? 1 : 0;
        lastDirection = direction == 0 ? lastDirection : direction;
        for (long i = order.getValue(); i < present; i++) {
          String last =
              servers.values().stream()
                  .filter(s -> s.ready() && s.zone().equals(zone))
                  .map(s -> s.incarnation().id())
                  .max(Comparator.naturalOrder())
                  .orElseThrow();
          servers.remove(last);
        }
        for (long i = present; i < order.getValue(); i++) {
          booting.put(server("n" + created++, zone, true), now + BOOT_MILLIS);
        }
      }
      if (!decision.isEmpty()) {
        scaler.onOrdered(decision.reason(), now);
      }
    }
    late += pulses.stream().filter(p -> p.dueMillis < durationMillis).mapToInt(p -> p.items).sum();
    return new Outcome(late, Math.round(seconds), orders, turns);
  }

  private static ServerEntry server(String id, String zone, boolean ready) {
    return new ServerEntry(ServerIncarnation.of(id), "llm", "h:1", zone, SLOTS, ready, Map.of());
  }

  private static Outcome backlog(IntUnaryOperator itemsOfPulse, long lostAtMillis) {
    return replay(new BacklogPolicy(), itemsOfPulse, lostAtMillis);
  }

  private static Outcome targetUse(IntUnaryOperator itemsOfPulse, long lostAtMillis) {
    return replay(new TargetUsePolicy(SLOTS), itemsOfPulse, lostAtMillis);
  }

  private static final long NEVER = Long.MAX_VALUE / 2;

  @Test
  void pulsesThatAreFinishedInTimeCallForNoServers() {
    IntUnaryOperator steady = pulse -> 1_100;
    Outcome chosen = backlog(steady, NEVER);
    Outcome other = targetUse(steady, NEVER);
    assertThat(chosen.orders(), equalTo(0));
    assertThat(chosen.lateItems(), equalTo(0));
    assertThat(other.lateItems(), equalTo(0));
    assertThat(other.serverSeconds(), greaterThan(chosen.serverSeconds()));
  }

  @Test
  void aLoadThatGrowsBeyondTheServersIsCaughtUpWith() {
    IntUnaryOperator growing = pulse -> pulse < 8 ? 800 : 1_800;
    Outcome chosen = backlog(growing, NEVER);
    Outcome other = targetUse(growing, NEVER);
    Outcome none = replay(none(), growing, NEVER);
    assertThat(chosen.lateItems(), lessThan(none.lateItems() / 10));
    assertThat(chosen.serverSeconds(), lessThan(other.serverSeconds()));
  }

  @Test
  void theLossOfAZoneIsMadeUpForBeforeWorkIsLate() {
    IntUnaryOperator steady = pulse -> 1_000;
    Outcome chosen = backlog(steady, 40_000);
    Outcome other = targetUse(steady, 40_000);
    assertThat(chosen.lateItems(), equalTo(0));
    assertThat(chosen.orders(), lessThanOrEqualTo(4));
    assertThat(chosen.orders(), lessThanOrEqualTo(other.orders()));
  }

  @ParameterizedTest
  @ValueSource(longs = {NEVER, 40_000})
  void theNumberOfServersNeverTurnsUpAndDown(long lostAtMillis) {
    IntUnaryOperator growing = pulse -> pulse < 8 ? 800 : 1_800;
    Outcome outcome = replay(new BacklogPolicy(), growing, lostAtMillis, 600_000);
    assertThat(outcome.orders(), greaterThan(0));
    assertThat(outcome.turns(), equalTo(0));
  }

  private static CapacityPolicy none() {
    return new CapacityPolicy() {
      @Override
      public int requiredServers(Load load, long nowMillis) {
        return 0;
      }

      @Override
      public void onIncrease(long nowMillis) {}
    };
  }
}
