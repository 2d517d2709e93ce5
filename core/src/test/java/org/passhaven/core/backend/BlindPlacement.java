package org.passhaven.core.backend;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.passhaven.core.placement.Member;

/**
 * Simulation of one minute of a service whose servers are chosen by nodes without knowledge of each
 * other: a runner sends bursts of scorings, callers send requests at regular intervals, and checks
 * of the configuration go through each node.
 */
final class BlindPlacement {
  private static final int SERVERS = 12;
  private static final long END_MILLIS = 60_000;
  private static final long BURST_MILLIS = 1_500;
  private static final long CALL_MILLIS = 125;
  private static final long CHECK_MILLIS = 1_600;
  private static final long SCORING_WORK_MILLIS = 202;
  private static final long CALL_WORK_MILLIS = 25;
  private static final long IDLE_CLOSED_MILLIS = 5_000;

  /** How a node chooses a server. */
  enum Way {
    /** The least used and nearest of all servers; ties by name. */
    BY_NAME,
    /** The less costly of two servers drawn at random among all. */
    TWO_OF_ALL,
    /** The less costly of two servers drawn at random from the node's subset. */
    TWO_OF_SUBSET,
    /** The best server of the node's subset; ties in the node's own order. The way in use. */
    SUBSET
  }

  /** Results of one minute. */
  record Figures(
      double maxOverMean,
      long callsP50Millis,
      long callsP99Millis,
      long scoringsP99Millis,
      int connections) {}

  private record Event(long atMillis, Runnable task) {}

  private final Way way;
  private final Random random;
  private final List<Member> members;
  private final List<ServerEntry> servers;
  private final List<Node> nodes;
  private final Map<ServerStart, Server> running = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMillis));
  private final List<Long> calls = new ArrayList<>();
  private final List<Long> checks = new ArrayList<>();
  private final List<Long> scorings = new ArrayList<>();
  private long now;
  private int connections;

  private BlindPlacement(Way way, int fleet, long seed) {
    this.way = way;
    this.random = new Random(seed);
    this.members = SubsetFixture.nodes(fleet, true, random);
    this.servers = SubsetFixture.servers(SERVERS, false, random);
    servers.forEach(server -> running.put(server.start(), new Server(0.7 + random.nextDouble())));
    this.nodes = members.stream().map(Node::new).toList();
  }

  static Figures play(Way way, int fleet, long seed) {
    return new BlindPlacement(way, fleet, seed).play();
  }

  private Figures play() {
    for (long at = 0; at < END_MILLIS; at += CALL_MILLIS) {
      later(at, () -> send(nodes.get(random.nextInt(nodes.size())), CALL_WORK_MILLIS, calls));
    }
    for (long at = 0; at < END_MILLIS; at += CHECK_MILLIS) {
      for (Node node : nodes) {
        later(at + random.nextInt((int) CHECK_MILLIS), () -> send(node, CALL_WORK_MILLIS, checks));
      }
    }
    for (long at = 0; at < END_MILLIS; at += BURST_MILLIS) {
      later(at, this::burst);
    }
    while (!events.isEmpty()) {
      Event next = events.poll();
      now = next.atMillis();
      next.task().run();
    }
    int most = running.values().stream().mapToInt(server -> server.served).max().orElse(0);
    double mean = (calls.size() + checks.size() + scorings.size()) / (double) SERVERS;
    return new Figures(
        most / mean, part(calls, 0.5), part(calls, 0.99), part(scorings, 0.99), connections);
  }

  private static long part(List<Long> times, double part) {
    long[] sorted = times.stream().mapToLong(Long::longValue).sorted().toArray();
    return sorted[(int) (part * (sorted.length - 1))];
  }

  private void later(long atMillis, Runnable task) {
    events.add(new Event(atMillis, task));
  }

  private void burst() {
    int count = 8 + random.nextInt(9);
    for (int i = 0; i < count; i++) {
      send(nodes.get(0), SCORING_WORK_MILLIS, scorings);
    }
  }

  private void send(Node node, long workMillis, List<Long> times) {
    long sentAt = now;
    ServerEntry to = node.choose();
    node.connect(to);
    node.health.onSent(to.start());
    running
        .get(to.start())
        .take(
            workMillis,
            () -> {
              node.health.onEnded(to.start());
              node.health.onSuccess(to.start(), now - sentAt, now);
              node.idle(to).add(now);
              times.add(now - sentAt);
            });
  }

  /** A server: works on as many requests as it has places; further ones wait in turn. */
  private final class Server {
    private final double slowness;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private int taken;
    private int served;

    Server(double slowness) {
      this.slowness = slowness;
    }

    void take(long workMillis, Runnable whenDone) {
      served++;
      waiting.add(() -> begin(workMillis, whenDone));
      next();
    }

    private void next() {
      if (taken < servers.get(0).slots() && !waiting.isEmpty()) {
        taken++;
        waiting.poll().run();
      }
    }

    private void begin(long workMillis, Runnable whenDone) {
      long tookMillis = Math.round(workMillis * slowness * (0.8 + 0.4 * random.nextDouble()));
      later(
          now + tookMillis,
          () -> {
            taken--;
            whenDone.run();
            next();
          });
    }
  }

  private final class Node {
    private final ServerHealth health = new ServerHealth();
    private final PeakUse use = new PeakUse();
    private final Map<ServerStart, List<Long>> idleSince = new HashMap<>();
    private final ServerSubset formed;
    private final ServerPicker byZone;
    private final ServerPicker inSubset;
    private int turn;

    Node(Member self) {
      formed = ServerSubset.of(self, members, servers);
      byZone = new ServerPicker(health, self.zone());
      inSubset =
          new ServerPicker(
              health,
              server -> server.zone().equals(self.zone()) || formed.contains(server.start()));
    }

    ServerEntry choose() {
      List<ServerEntry> byName =
          servers.stream().sorted(Comparator.comparing(ServerEntry::start)).toList();
      int own = servers.stream().mapToInt(server -> health.inProgress(server.start())).sum();
      List<ServerEntry> subset =
          formed
              .forUse(use.mark(own + 1, now), turn++)
              .candidates(server -> inSubset.isGood(server, servers, now));
      return switch (way) {
        case BY_NAME -> byZone.pick(byName, Set.of(), now).orElseThrow();
        case TWO_OF_ALL -> byZone.pick(two(byName), Set.of(), now).orElseThrow();
        case TWO_OF_SUBSET -> inSubset.pick(two(subset), Set.of(), now).orElseThrow();
        case SUBSET -> inSubset.pick(subset, Set.of(), now).orElseThrow();
      };
    }

    private List<ServerEntry> two(List<ServerEntry> among) {
      int first = random.nextInt(among.size());
      int second = (first + 1 + random.nextInt(among.size() - 1)) % among.size();
      return Arrays.asList(among.get(first), among.get(second));
    }

    List<Long> idle(ServerEntry server) {
      return idleSince.computeIfAbsent(server.start(), key -> new ArrayList<>());
    }

    void connect(ServerEntry server) {
      List<Long> idle = idle(server);
      idle.removeIf(since -> now - since > IDLE_CLOSED_MILLIS);
      if (idle.isEmpty()) {
        connections++;
      } else {
        idle.remove(idle.size() - 1);
      }
    }
  }
}
