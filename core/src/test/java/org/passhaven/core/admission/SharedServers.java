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
import org.passhaven.core.admission.ServiceAdmission.Change;

/**
 * Simulation of a few servers of one service, runners that send them bursts of scorings, and
 * callers at other nodes. Nodes notice each other only by the times of their answers. Time is
 * virtual, draws are seeded.
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

  /** Number of servers, and the times of a scoring's and a caller's work. */
  record Work(int servers, long scoringMillis, long callerMillis) {}

  /** Results: times of callers and bursts in milliseconds, and counts. */
  static final class Seen {
    final List<Long> callers = new ArrayList<>();
    final List<Long> bursts = new ArrayList<>();
    int callersRefused;
    int serverRefusals;
    int waits;
    int rejects;

    long callerPart(double part) {
      return quantile(callers, part);
    }

    long burstPart(double part) {
      return quantile(bursts, part);
    }

    private static long quantile(List<Long> values, double part) {
      List<Long> sorted = values.stream().sorted().toList();
      return sorted.get((int) Math.min(sorted.size() - 1, Math.floor(part * sorted.size())));
    }

    @Override
    public String toString() {
      return "callers p50/p99 %d/%d refused %d, bursts p50/p99 %d/%d, full %d waits %d rejects %d"
          .formatted(
              callerPart(0.5),
              callerPart(0.99),
              callersRefused,
              burstPart(0.5),
              burstPart(0.99),
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
  private final Seen seen = new Seen();
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

  private void after(long millis, Runnable run) {
    events.add(new Event(now + millis, ids++, run));
  }

  /** Runs until no event is left. */
  Seen play() {
    while (!events.isEmpty()) {
      Event next = events.poll();
      now = next.atMillis();
      next.run().run();
    }
    return seen;
  }

  /** Makes the first {@code count} servers slower from a time on. */
  void slow(long atMillis, int count, double factor) {
    after(atMillis, () -> servers.subList(0, count).forEach(server -> server.slowness *= factor));
  }

  /** Adds callers at random times, each at a node of its own. */
  void callers(double perSecond, long lengthMillis) {
    double at = 0;
    while (at < lengthMillis) {
      at += -Math.log(1 - random.nextDouble()) / perSecond * 1_000;
      Node node = new Node();
      after((long) at, () -> call(node, now, 1));
    }
  }

  private void call(Node node, long beganAt, int retries) {
    Item item = node.item(Source.CALLER, work.callerMillis(), now + CALLER_DEADLINE_MILLIS);
    node.ask(
        item,
        () -> seen.callers.add(now - beganAt),
        retryAfter -> {
          if (retries > 0) {
            after(retryAfter, () -> call(node, beganAt, retries - 1));
          } else {
            seen.callersRefused++;
          }
        });
  }

  /** Adds runners that each send one burst every second, at slightly different times. */
  void bursts(int runners, int size, long lengthMillis) {
    for (int i = 0; i < runners; i++) {
      Node node = new Node();
      for (long at = 500; at < lengthMillis; at += 1_000) {
        after(at + random.nextInt(100), () -> new Burst(node, size).begin());
      }
    }
  }

  /** Scorings of one node, of which at most {@link #FIXED_AT_ONCE} ask for a place at once. */
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
      node.ask(item, this::onScored, retryAfter -> after(retryAfter, this::score));
    }

    private void onScored() {
      atOnce--;
      running--;
      if (running == 0) {
        seen.bursts.add(now - beganAt);
      }
      begin();
    }
  }

  private record Item(
      AdmissionRequest request, long workMillis, Map<Server, Boolean> tried, int[] refusals) {}

  private record Waiting(Item item, Runnable onServed, Consumer<Long> onRefused) {}

  /** A node, which sends to the server with the fewest requests of its own. */
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

    void ask(Item item, Runnable onServed, Consumer<Long> onRefused) {
      Waiting asked = new Waiting(item, onServed, onRefused);
      if (!isLimited) {
        send(asked);
        return;
      }
      AdmissionVerdict verdict = admission.offer(item.request(), now);
      if (verdict instanceof AdmissionVerdict.Send) {
        send(asked);
      } else if (verdict instanceof AdmissionVerdict.Reject reject) {
        seen.rejects++;
        onRefused.accept(reject.retryAfterMillis());
      } else {
        seen.waits++;
        waiting.put(item.request().id(), asked);
      }
    }

    private void pump() {
      for (Change change : admission.next(now)) {
        Waiting asked = waiting.remove(change.request().id());
        if (change.verdict() instanceof AdmissionVerdict.Reject reject) {
          seen.rejects++;
          asked.onRefused().accept(reject.retryAfterMillis());
        } else {
          send(asked);
        }
      }
    }

    private void send(Waiting asked) {
      Server server =
          servers.stream()
              .min(
                  Comparator.comparing((Server each) -> asked.item().tried().containsKey(each))
                      .thenComparing(each -> own.getOrDefault(each, 0))
                      .thenComparing(each -> random.nextInt()))
              .orElseThrow();
      asked.item().tried().put(server, true);
      own.merge(server, 1, Integer::sum);
      long sentAt = now;
      after(
          LINK_MILLIS,
          () ->
              server.take(
                  asked.item().workMillis(),
                  isServed -> after(LINK_MILLIS, () -> onAnswer(asked, server, isServed, sentAt))));
    }

    private void onAnswer(Waiting asked, Server server, boolean isServed, long sentAt) {
      own.merge(server, -1, Integer::sum);
      AdmissionRequest request = asked.item().request();
      if (isServed) {
        admission.onAnswer(request, now - sentAt, now);
        admission.onEnded(request);
        asked.onServed().run();
        pump();
        return;
      }
      seen.serverRefusals++;
      admission.onFull(now);
      if (++asked.item().refusals()[0] < MAX_REFUSALS) {
        after(PAUSE_MILLIS, () -> send(asked));
        return;
      }
      admission.onEnded(request);
      asked
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
      long took = (long) (workMillis * slowness * (0.8 + 0.4 * random.nextDouble()));
      after(
          took,
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
