package org.passhaven.core.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.passhaven.core.admission.AdmissionRequest.Source;
import org.passhaven.core.admission.ServiceAdmission.WaitingDecision;

/**
 * Simulation of a few servers of one service, runners that send them bursts of scorings, and
 * callers at other nodes. Nodes notice each other only through response times. Time is virtual,
 * random numbers are seeded.
 */
final class SharedServers {
  static final int SLOTS = 6;
  private static final int SERVER_QUEUE = 24;
  private static final long LINK_MILLIS = 1;
  private static final long PAUSE_MILLIS = 10;
  private static final int MAX_REFUSALS = 6;
  private static final long FIXED_RETRY_MILLIS = 100;
  private static final int FIXED_AT_ONCE = 48;
  private static final long SCORE_DEADLINE_MILLIS = 2_500;
  private static final long CALLER_DEADLINE_MILLIS = 2_000;

  /** Number of servers and the processing times of a scoring and of a caller's request. */
  record Work(int servers, long scoringMillis, long callerMillis) {}

  /** Response times of callers and durations of bursts in milliseconds, and counters. */
  static final class Results {
    final List<Long> callers = new ArrayList<>();
    final List<Long> bursts = new ArrayList<>();
    int callersRefused;
    int serverRefusals;
    int waits;
    int rejects;

    long callerQuantile(double fraction) {
      return quantile(callers, fraction);
    }

    long burstQuantile(double fraction) {
      return quantile(bursts, fraction);
    }

    private static long quantile(List<Long> values, double fraction) {
      List<Long> sorted = values.stream().sorted().toList();
      return sorted.get((int) Math.min(sorted.size() - 1, Math.floor(fraction * sorted.size())));
    }

    @Override
    public String toString() {
      return "callers p50/p99 %d/%d refused %d, bursts p50/p99 %d/%d, full %d waits %d rejects %d"
          .formatted(
              callerQuantile(0.5),
              callerQuantile(0.99),
              callersRefused,
              burstQuantile(0.5),
              burstQuantile(0.99),
              serverRefusals,
              waits,
              rejects);
    }
  }

  private record Event(long atMillis, long order, Runnable run) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
  private final Random random;
  private final Work work;
  private final boolean isLimited;
  private final List<Server> servers;
  private final Results results = new Results();
  private long now;
  private long ids;

  SharedServers(Work work, boolean isLimited, long seed) {
    this.work = work;
    this.isLimited = isLimited;
    this.random = new Random(seed);
    // Machines differ: every third server takes longer.
    this.servers =
        IntStream.range(0, work.servers()).mapToObj(i -> new Server(i % 3 == 2 ? 1.5 : 1)).toList();
  }

  private void schedule(long millis, Runnable run) {
    events.add(new Event(now + millis, ids++, run));
  }

  /** Runs the simulation until no event is left. */
  Results simulate() {
    while (!events.isEmpty()) {
      Event next = events.poll();
      now = next.atMillis();
      next.run().run();
    }
    return results;
  }

  /** Makes the first {@code count} servers slower from a given time on. */
  void slow(long atMillis, int count, double factor) {
    schedule(
        atMillis, () -> servers.subList(0, count).forEach(server -> server.slowness *= factor));
  }

  /** Adds callers at random times, each at its own node. */
  void callers(double perSecond, long lengthMillis) {
    double at = 0;
    while (at < lengthMillis) {
      at += -Math.log(1 - random.nextDouble()) / perSecond * 1_000;
      Node node = new Node();
      schedule((long) at, () -> call(node, now, 1));
    }
  }

  private void call(Node node, long beganAt, int retries) {
    Item item = node.item(Source.CALLER, work.callerMillis(), now + CALLER_DEADLINE_MILLIS);
    node.submit(
        item,
        () -> results.callers.add(now - beganAt),
        retryAfter -> {
          if (retries > 0) {
            schedule(retryAfter, () -> call(node, beganAt, retries - 1));
          } else {
            results.callersRefused++;
          }
        });
  }

  /** Adds runners that each send one burst every second, at slightly different times. */
  void bursts(int runners, int size, long lengthMillis) {
    for (int i = 0; i < runners; i++) {
      Node node = new Node();
      for (long at = 500; at < lengthMillis; at += 1_000) {
        schedule(at + random.nextInt(100), () -> new Burst(node, size).begin());
      }
    }
  }

  /**
   * A burst of scorings of one node, of which at most {@link #FIXED_AT_ONCE} submit for a slot
   * concurrently.
   */
  private final class Burst {
    private final Node node;
    private final long beganAt = now;
    private int left;
    private int atOnce;
    private int running;

    Burst(Node node, int size) {
      this.node = node;
      this.left = size;
      this.running = size;
    }

    void begin() {
      while (left > 0 && atOnce < FIXED_AT_ONCE) {
        left--;
        atOnce++;
        score();
      }
    }

    private void score() {
      Item item = node.item(Source.SCORING, work.scoringMillis(), now + SCORE_DEADLINE_MILLIS);
      node.submit(item, this::onScored, retryAfter -> schedule(retryAfter, this::score));
    }

    private void onScored() {
      atOnce--;
      running--;
      if (running == 0) {
        results.bursts.add(now - beganAt);
      }
      begin();
    }
  }

  private record Item(
      AdmissionRequest request, long workMillis, Map<Server, Boolean> tried, int[] refusals) {}

  private record Waiting(Item item, Runnable onServed, Consumer<Long> onRefused) {}

  /** A node, which sends each request to the server with the fewest of its own requests. */
  private final class Node {
    private final Map<Server, Integer> own = new HashMap<>();
    private final Map<Long, Waiting> waiting = new HashMap<>();
    private final ServiceAdmission admission = new ServiceAdmission(random::nextInt, now);

    Node() {
      admission.onServers(servers.size(), servers.size() * SLOTS, now);
    }

    Item item(Source source, long workMillis, long deadlineMillis) {
      AdmissionRequest request =
          new AdmissionRequest(ids++, "s", source.name(), "", source, 2, deadlineMillis);
      return new Item(request, workMillis, new HashMap<>(), new int[1]);
    }

    void submit(Item item, Runnable onServed, Consumer<Long> onRefused) {
      Waiting submitted = new Waiting(item, onServed, onRefused);
      if (!isLimited) {
        send(submitted);
        return;
      }
      AdmissionDecision decision = admission.decide(item.request(), now);
      if (decision instanceof AdmissionDecision.Send) {
        send(submitted);
      } else if (decision instanceof AdmissionDecision.Reject reject) {
        results.rejects++;
        onRefused.accept(reject.retryAfterMillis());
      } else {
        results.waits++;
        waiting.put(item.request().id(), submitted);
      }
    }

    private void pump() {
      for (WaitingDecision waitingDecision : admission.decideWaiting(now)) {
        Waiting submitted = waiting.remove(waitingDecision.request().id());
        if (waitingDecision.decision() instanceof AdmissionDecision.Reject reject) {
          results.rejects++;
          submitted.onRefused().accept(reject.retryAfterMillis());
        } else {
          send(submitted);
        }
      }
    }

    private void send(Waiting submitted) {
      Server server =
          servers.stream()
              .min(
                  Comparator.comparing((Server each) -> submitted.item().tried().containsKey(each))
                      .thenComparing(each -> own.getOrDefault(each, 0))
                      .thenComparing(each -> random.nextInt()))
              .orElseThrow();
      submitted.item().tried().put(server, true);
      own.merge(server, 1, Integer::sum);
      long sentAt = now;
      schedule(
          LINK_MILLIS,
          () ->
              server.take(
                  submitted.item().workMillis(),
                  isServed ->
                      schedule(
                          LINK_MILLIS, () -> onResponse(submitted, server, isServed, sentAt))));
    }

    private void onResponse(Waiting submitted, Server server, boolean isServed, long sentAt) {
      own.merge(server, -1, Integer::sum);
      AdmissionRequest request = submitted.item().request();
      if (isServed) {
        admission.onResponse(request, now - sentAt, now);
        admission.onEnded(request);
        submitted.onServed().run();
        pump();
        return;
      }
      results.serverRefusals++;
      admission.onServerFull(now);
      if (++submitted.item().refusals()[0] < MAX_REFUSALS) {
        schedule(PAUSE_MILLIS, () -> send(submitted));
        return;
      }
      admission.onEnded(request);
      submitted
          .onRefused()
          .accept(isLimited ? admission.retryAfterMillis(request, now) : FIXED_RETRY_MILLIS);
      pump();
    }
  }

  private final class Server {
    private double slowness;
    private final Queue<Runnable> queue = new ArrayDeque<>();
    private int running;

    Server(double slowness) {
      this.slowness = slowness;
    }

    void take(long workMillis, Consumer<Boolean> onEnd) {
      if (running < SLOTS) {
        run(workMillis, onEnd);
      } else if (queue.size() < SERVER_QUEUE) {
        queue.add(() -> run(workMillis, onEnd));
      } else {
        onEnd.accept(false);
      }
    }

    private void run(long workMillis, Consumer<Boolean> onEnd) {
      running++;
      long tookMillis = (long) (workMillis * slowness * (0.8 + 0.4 * random.nextDouble()));
      schedule(
          tookMillis,
          () -> {
            running--;
            onEnd.accept(true);
            if (running < SLOTS && !queue.isEmpty()) {
              queue.poll().run();
            }
          });
    }
  }
}
