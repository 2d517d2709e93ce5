package org.passhaven.core.coldstart;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.member.HeartbeatTable;
import org.passhaven.core.placement.Member;
import org.passhaven.core.placement.Rendezvous;
import org.passhaven.core.route.RequestLimits;
import org.passhaven.core.route.Route;
import org.passhaven.core.route.RouteTable;
import org.passhaven.core.route.ServiceShare;
import org.passhaven.core.service.ColdStart;
import org.passhaven.core.service.ServiceSpec;
import org.passhaven.core.tenant.TenantTable;
import org.passhaven.protocol.member.MemberBeat;

/**
 * Replays a fleet in front of a cold server, with heartbeats that each node reads late, and counts
 * the requests of all nodes in any one second. All nodes always have a request to send, and few
 * nodes get most of the callers' load, which moves to others every four seconds.
 */
class ColdStartReplayTest {
  private static final double REQUESTS_PER_SECOND = 17;

  /** Requests in one second above which the server falls over. */
  private static final int MAX_IN_ONE_SECOND = 30;

  /** A cold server is used: at least one request a second on average. */
  private static final int MIN_REQUESTS = 40;

  private static final int SEEDS = 12;
  private static final int STEP_MILLIS = 10;
  private static final long END_MILLIS = 40_000;
  private static final long HEARTBEAT_MILLIS = 500;
  private static final long SILENCE_MILLIS = 1_600;
  private static final long SETTLE_MILLIS = 1_100;
  private static final long MOVE_MILLIS = 4_000;
  private static final long TROUBLE_MILLIS = 15_000;
  private static final long TROUBLE_END_MILLIS = 25_000;
  private static final int ADMITTING_NODES = 3;
  private static final long RECHECK_MILLIS = 50;
  private static final ServerEntry SERVER =
      new ServerEntry(
          ServerIncarnation.of("s"), "app", "s:1", "z", 6, true, Map.of(), 2 * END_MILLIS);

  /** Ways to divide the rate. */
  private enum Way {
    /** A few nodes by rendezvous over the live ones pace at equal parts. */
    ADMITTING,
    /** The first node by rendezvous hands out all turns. */
    ONE_NODE,
    /** Each node paces at its share of the newest heartbeats. */
    NEWEST_SHARE,
    /** The limiter: shares that rise late. */
    LIMITER
  }

  private enum Trouble {
    NONE,
    /** A fifth of the nodes is suspended and wakes. */
    FREEZE,
    /** No node reaches the log. */
    LOG_DOWN,
    /** Half of the nodes don't reach the log. */
    HALF_CUT_OFF,
    /** All nodes restart at once. */
    ALL_RESTART,
    /** A node restarts each second. */
    ROLLING
  }

  private record LogRecord(MemberBeat heartbeat, long writtenAtMillis) {}

  private final List<LogRecord> log = new ArrayList<>();
  private final List<Long> sentAtMillis = new ArrayList<>();
  private Random random = new Random(0);
  private Way way;
  private Trouble trouble;

  private final class Node {
    final int index;
    final long readPauseMillis = 250L + random.nextInt(850);
    double weight;
    HeartbeatTable heartbeats;
    ColdStartLimiter limiter;
    ColdStartShares shares;
    int position;
    long nextReadMillis;
    long nextHeartbeatMillis;
    long firstWrittenAtMillis;
    long lastOwnReadMillis;
    long nextTurnMillis;
    long stoppedUntilMillis;

    Node(int index) {
      this.index = index;
      restart(0);
    }

    String name() {
      return "n" + index;
    }

    void restart(long now) {
      heartbeats = new HeartbeatTable(SILENCE_MILLIS);
      shares = new ColdStartShares(name());
      limiter = new ColdStartLimiter(shares, random::nextInt);
      limiter.configure(routes());
      limiter.trustSharesWhile(() -> isKnown(time));
      limiter.onEntry(SERVER, now);
      position = Math.max(0, log.size() - 200);
      nextReadMillis = now + random.nextInt(100);
      nextHeartbeatMillis = now + random.nextInt(100);
      firstWrittenAtMillis = Long.MAX_VALUE / 2;
      lastOwnReadMillis = Long.MIN_VALUE / 2;
      nextTurnMillis = now;
    }

    boolean isKnown(long now) {
      return now - lastOwnReadMillis < SILENCE_MILLIS
          && now - firstWrittenAtMillis >= SETTLE_MILLIS;
    }

    boolean isCutOff(long now) {
      boolean isInTrouble = now >= TROUBLE_MILLIS && now < TROUBLE_END_MILLIS;
      return isInTrouble
          && (trouble == Trouble.LOG_DOWN || (trouble == Trouble.HALF_CUT_OFF && index % 2 == 0));
    }

    void step(long now) {
      if (now < stoppedUntilMillis) {
        return;
      }
      // A node that wakes sends before it reads.
      send(now);
      if (now >= nextHeartbeatMillis && !isCutOff(now)) {
        nextHeartbeatMillis = now + HEARTBEAT_MILLIS;
        firstWrittenAtMillis = Math.min(firstWrittenAtMillis, now);
        log.add(
            new LogRecord(
                new MemberBeat(name(), name(), "z", 1, true, weight, HEARTBEAT_MILLIS, 0, 0), now));
      }
      if (now >= nextReadMillis && !isCutOff(now)) {
        nextReadMillis = now + readPauseMillis;
        read(now);
      }
    }

    private void read(long now) {
      while (position < log.size()) {
        MemberBeat heartbeat = log.get(position++).heartbeat();
        heartbeats.onHeartbeat(heartbeat, now);
        if (heartbeat.node().equals(name())) {
          lastOwnReadMillis = now;
        }
      }
      shares.onHeartbeats(heartbeats.acceptingNodes(), now);
    }

    private void send(long now) {
      if (way == Way.LIMITER) {
        if (limiter.maySend(SERVER, now)) {
          limiter.onSent(SERVER, now);
          sentAtMillis.add(now);
        }
      } else if (now >= nextTurnMillis && isKnown(now)) {
        double share = shareNow();
        if (share > 0) {
          sentAtMillis.add(now);
          nextTurnMillis = now + (long) (1_000 / (share * REQUESTS_PER_SECOND));
        } else {
          nextTurnMillis = now + RECHECK_MILLIS;
        }
      }
    }

    private double shareNow() {
      List<MemberBeat> live = heartbeats.acceptingNodes();
      if (way == Way.NEWEST_SHARE) {
        double total = live.stream().mapToDouble(MemberBeat::requestsPerSecond).sum();
        return live.stream()
            .filter(heartbeat -> heartbeat.node().equals(name()))
            .mapToDouble(heartbeat -> heartbeat.requestsPerSecond() / total)
            .sum();
      }
      int nodes = way == Way.ONE_NODE ? 1 : ADMITTING_NODES;
      List<Member> members =
          live.stream().map(heartbeat -> new Member(heartbeat.node(), "z")).toList();
      boolean isChosen =
          Rendezvous.rank("s", members, nodes).stream()
              .anyMatch(member -> member.name().equals(name()));
      return isChosen ? 1.0 / nodes : 0;
    }
  }

  private long time;

  private static RouteTable routes() {
    Route route =
        new Route(
            "r",
            "h",
            "/",
            List.of(new ServiceShare("app", 1)),
            Route.Kind.REPEATABLE,
            0,
            100,
            2,
            false,
            false,
            0,
            0,
            false);
    return new RouteTable(
        1,
        List.of(route),
        RequestLimits.DEFAULT,
        TenantTable.NONE,
        Map.of(
            "app",
            new ServiceSpec(
                "app",
                Optional.of(new ColdStart(END_MILLIS, REQUESTS_PER_SECOND)),
                Optional.empty())));
  }

  private void moveLoad(List<Node> nodes) {
    for (Node node : nodes) {
      node.weight = random.nextInt(3) == 0 ? 1 / (0.05 + random.nextDouble()) : 0;
    }
  }

  private void disturb(List<Node> nodes, long now) {
    if (trouble == Trouble.ROLLING && now >= TROUBLE_MILLIS && now % 1_000 == 0) {
      Node node = nodes.get((int) (now / 1_000) % nodes.size());
      node.restart(now + 700);
      node.stoppedUntilMillis = now + 700;
    } else if (trouble == Trouble.ALL_RESTART && now == TROUBLE_MILLIS) {
      for (Node node : nodes) {
        long backAtMillis = now + 1_000 + random.nextInt(1_000);
        node.restart(backAtMillis);
        node.stoppedUntilMillis = backAtMillis;
      }
    } else if (trouble == Trouble.FREEZE && now >= TROUBLE_MILLIS && now % 5_000 == 0) {
      nodes.stream()
          .filter(node -> random.nextInt(5) == 0)
          .forEach(node -> node.stoppedUntilMillis = now + 500 + random.nextInt(4_000));
    }
  }

  private int replay(Way replayed, Trouble present, int count) {
    way = replayed;
    trouble = present;
    log.clear();
    sentAtMillis.clear();
    List<Node> nodes = IntStream.range(0, count).mapToObj(Node::new).toList();
    for (time = 0; time < END_MILLIS; time += STEP_MILLIS) {
      if (time % MOVE_MILLIS == 0) {
        moveLoad(nodes);
      }
      disturb(nodes, time);
      nodes.forEach(node -> node.step(time));
    }
    return maxInOneSecond();
  }

  private int maxInOneSecond() {
    int max = 0;
    int first = 0;
    for (int last = 0; last < sentAtMillis.size(); last++) {
      while (sentAtMillis.get(last) - sentAtMillis.get(first) > 1_000) {
        first++;
      }
      max = Math.max(max, last - first + 1);
    }
    return max;
  }

  @ParameterizedTest
  @CsvSource({"5", "30", "90"})
  void theFleetStaysBelowTheLimitOfAColdServer(int nodes) {
    for (Trouble present : Trouble.values()) {
      for (int seed = 0; seed < SEEDS; seed++) {
        random = new Random(seed);
        String replayed = present + ", seed " + seed;
        int max = replay(Way.LIMITER, present, nodes);
        assertThat(replayed + ": most in one second", max, lessThanOrEqualTo(MAX_IN_ONE_SECOND));
        assertThat(replayed + ": requests", sentAtMillis, hasSize(greaterThan(MIN_REQUESTS)));
      }
    }
  }

  @Test
  void sharesThatRiseAtOnceExceedTheLimit() {
    assertThat(replay(Way.NEWEST_SHARE, Trouble.NONE, 90), greaterThan(MAX_IN_ONE_SECOND));
  }
}
