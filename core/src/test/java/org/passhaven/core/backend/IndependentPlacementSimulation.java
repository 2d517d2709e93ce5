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
 * Simulates one minute of a service whose nodes choose servers independently: one node sends bursts
 * of scoring requests, callers send requests at regular intervals, and health checks go through
 * each node.
 */
final class IndependentPlacementSimulation {
  private static final int SERVERS = 12;
  private static final long END_MILLIS = 60_000;
  private static final long BURST_MILLIS = 1_500;
  private static final long CALL_MILLIS = 125;
  private static final long CHECK_MILLIS = 1_600;
  private static final long SCORING_WORK_MILLIS = 202;
  private static final long CALL_WORK_MILLIS = 25;
  private static final long IDLE_TIMEOUT_MILLIS = 5_000;

  /** Strategy by which a node chooses a server. */
  enum Strategy {
    /** The cheapest of all servers by load and zone; ties by name. */
    BY_NAME,
    /** The cheaper of two random servers. */
    TWO_OF_ALL,
    /** The cheaper of two random servers of the node's subset. */
    TWO_OF_SUBSET,
    /**
     * The cheapest server of the node's subset; ties in the node's own order. Used in production.
     */
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

  private final Strategy strategy;
  private final Random random;
  private final List<Member> members;
  private final List<ServerEntry> servers;
  private final List<Node> nodes;
  private final Map<ServerIncarnation, Server> running = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMillis));
  private final List<Long> calls = new ArrayList<>();
  private final List<Long> checks = new ArrayList<>();
  private final List<Long> scorings = new ArrayList<>();
  private long nowMillis;
  private int connections;

  private IndependentPlacementSimulation(Strategy strategy, int fleet, long seed) {
    this.strategy = strategy;
    this.random = new Random(seed);
    this.members = SubsetFixture.nodes(fleet, true, random);
    this.servers = SubsetFixture.servers(SERVERS, false, random);
    servers.forEach(
        server -> running.put(server.incarnation(), new Server(0.7 + random.nextDouble())));
    this.nodes = members.stream().map(Node::new).toList();
  }

  static Figures simulate(Strategy strategy, int fleet, long seed) {
    return new IndependentPlacementSimulation(strategy, fleet, seed).simulate();
  }

  private Figures simulate() {
    for (long at = 0; at < END_MILLIS; at += CALL_MILLIS) {
      schedule(at, () -> send(nodes.get(random.nextInt(nodes.size())), CALL_WORK_MILLIS, calls));
    }
    for (long at = 0; at < END_MILLIS; at += CHECK_MILLIS) {
      for (Node node : nodes) {
        schedule(
            at + random.nextInt((int) CHECK_MILLIS), () -> send(node, CALL_WORK_MILLIS, checks));
      }
    }
    for (long at = 0; at < END_MILLIS; at += BURST_MILLIS) {
      schedule(at, this::sendBurst);
    }
    while (!events.isEmpty()) {
      Event next = events.poll();
      nowMillis = next.atMillis();
      next.task().run();
    }
    int most = running.values().stream().mapToInt(server -> server.served).max().orElse(0);
    double mean = (calls.size() + checks.size() + scorings.size()) / (double) SERVERS;
    return new Figures(
        most / mean,
        percentile(calls, 0.5),
        percentile(calls, 0.99),
        percentile(scorings, 0.99),
        connections);
  }

  private static long percentile(List<Long> times, double part) {
    long[] sorted = times.stream().mapToLong(Long::longValue).sorted().toArray();
    return sorted[(int) (part * (sorted.length - 1))];
  }

  private void schedule(long atMillis, Runnable task) {
    events.add(new Event(atMillis, task));
  }

  private void sendBurst() {
    int count = 8 + random.nextInt(9);
    for (int i = 0; i < count; i++) {
      send(nodes.get(0), SCORING_WORK_MILLIS, scorings);
    }
  }

  private void send(Node node, long workMillis, List<Long> times) {
    long sentAt = nowMillis;
    ServerEntry to = node.choose();
    node.connect(to);
    node.health.onSent(to.incarnation());
    running
        .get(to.incarnation())
        .enqueue(
            workMillis,
            () -> {
              node.health.onEnded(to.incarnation());
              node.health.onSuccess(to.incarnation(), nowMillis - sentAt, nowMillis);
              node.idle(to).add(nowMillis);
              times.add(nowMillis - sentAt);
            });
  }

  /** A server that processes as many requests as it has slots and queues the others in order. */
  private final class Server {
    private final double slowness;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private int inProgress;
    private int served;

    Server(double slowness) {
      this.slowness = slowness;
    }

    void enqueue(long workMillis, Runnable whenDone) {
      served++;
      waiting.add(() -> start(workMillis, whenDone));
      startNext();
    }

    private void startNext() {
      if (inProgress < servers.get(0).slots() && !waiting.isEmpty()) {
        inProgress++;
        waiting.poll().run();
      }
    }

    private void start(long workMillis, Runnable whenDone) {
      long tookMillis = Math.round(workMillis * slowness * (0.8 + 0.4 * random.nextDouble()));
      schedule(
          nowMillis + tookMillis,
          () -> {
            inProgress--;
            whenDone.run();
            startNext();
          });
    }
  }

  private final class Node {
    private final ServerHealth health = new ServerHealth();
    private final PeakConcurrency concurrency = new PeakConcurrency();
    private final Map<ServerIncarnation, List<Long>> idleSince = new HashMap<>();
    private final ServerSubset subset;
    private final ServerPicker byZone;
    private final ServerPicker inSubset;
    private int requestsSent;

    Node(Member self) {
      subset = ServerSubset.of(self, members, servers);
      byZone = new ServerPicker(health, self.zone());
      inSubset =
          new ServerPicker(
              health,
              server -> server.zone().equals(self.zone()) || subset.contains(server.incarnation()));
    }

    ServerEntry choose() {
      List<ServerEntry> byName =
          servers.stream().sorted(Comparator.comparing(ServerEntry::incarnation)).toList();
      int own = servers.stream().mapToInt(server -> health.inProgress(server.incarnation())).sum();
      List<ServerEntry> candidates =
          subset
              .forLoad(concurrency.update(own + 1, nowMillis), requestsSent++)
              .candidates(server -> inSubset.isGood(server, servers, nowMillis));
      return switch (strategy) {
        case BY_NAME -> byZone.pick(byName, Set.of(), nowMillis).orElseThrow();
        case TWO_OF_ALL -> byZone.pick(randomPair(byName), Set.of(), nowMillis).orElseThrow();
        case TWO_OF_SUBSET ->
            inSubset.pick(randomPair(candidates), Set.of(), nowMillis).orElseThrow();
        case SUBSET -> inSubset.pick(candidates, Set.of(), nowMillis).orElseThrow();
      };
    }

    private List<ServerEntry> randomPair(List<ServerEntry> among) {
      int first = random.nextInt(among.size());
      int second = (first + 1 + random.nextInt(among.size() - 1)) % among.size();
      return Arrays.asList(among.get(first), among.get(second));
    }

    List<Long> idle(ServerEntry server) {
      return idleSince.computeIfAbsent(server.incarnation(), key -> new ArrayList<>());
    }

    void connect(ServerEntry server) {
      List<Long> idle = idle(server);
      idle.removeIf(since -> nowMillis - since > IDLE_TIMEOUT_MILLIS);
      if (idle.isEmpty()) {
        connections++;
      } else {
        idle.remove(idle.size() - 1);
      }
    }
  }
}
