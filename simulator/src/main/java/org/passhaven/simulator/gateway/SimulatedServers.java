package org.passhaven.simulator.gateway;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.MultiEmitter;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.simulator.time.SimulatedProcess;
import org.passhaven.simulator.time.VirtualTime;
import org.passhaven.spi.BackEndException;
import org.passhaven.spi.BackEndService;
import org.passhaven.spi.PlatformException;

/** Model servers and scorers in virtual time. */
public final class SimulatedServers {
  /** Name of the model. */
  public static final String MODEL = "m";

  private static final long ONE_WAY_MICROS = 500;
  private static final long EVENT_MILLIS = 33;
  private static final long LOAD_MILLIS = 900;
  private static final long SCORE_MILLIS = 40;
  private static final int MOST_RUNS = 32;
  private static final int MOST_EVENTS = 25;
  private static final int LATE_FROM_MILLIS = 2_000;
  private static final int LATE_SPREAD_MILLIS = 10_000;
  private static final long REFUSED_CONNECTION_MILLIS = 1;

  /** One server. */
  public static final class Server {
    final String name;
    final String zone;
    final List<Run> runs = new ArrayList<>();
    final List<Runnable> cutCalls = new ArrayList<>();
    int start = 1;
    long bornMillis;
    long version = 1;
    long sequence;
    boolean loading;
    boolean down;
    boolean dark;
    long slowness = 1;

    Server(String name, String zone) {
      this.name = name;
      this.zone = zone;
    }

    String instance() {
      return bornMillis == 0 ? name + "-" + start : name;
    }

    ServerIncarnation listedStart() {
      return new ServerIncarnation(instance(), bornMillis);
    }

    /** Ends at once; a dark one says nothing any more. */
    public void crash(boolean silently) {
      down = true;
      dark = silently;
      loading = false;
      cutCalls.clear();
      List<Run> cut = List.copyOf(runs);
      runs.clear();
      if (!silently) {
        cut.forEach(run -> run.fail(BackEndException.Kind.CUT, "reset"));
      }
    }

    /** Ends at once by a request that it began: all its connections are reset. */
    void crashByRequest() {
      List<Runnable> calls = List.copyOf(cutCalls);
      crash(false);
      calls.forEach(Runnable::run);
    }

    /** Starts again, with the version that it had and a new instance. */
    public void restart() {
      start++;
      sequence = 0;
      down = false;
      dark = false;
    }

    /** Starts again under the id that it had, and knows nothing of before. */
    void restartInPlace(long nowMillis) {
      restart();
      bornMillis = nowMillis;
      version = 1;
    }

    /** Makes events take so many times as long. */
    public void setSlowness(long times) {
      slowness = times;
    }
  }

  private final VirtualTime time;
  private final UniformRandomProvider random;
  private final GatewayChecker checker;
  private final Map<String, Server> servers = new TreeMap<>();
  private final CrashingRequests crashing;
  private BiConsumer<String, String> runs = (tenant, request) -> {};
  private double lateOrders;
  private double lostScores;
  private final List<Long> begunAtMillis = new ArrayList<>();

  /** Creates servers over zones. */
  public SimulatedServers(
      VirtualTime time,
      UniformRandomProvider random,
      GatewayChecker checker,
      List<String> zones,
      CrashingRequests crashing) {
    this.time = time;
    this.crashing = crashing;
    this.random = random;
    this.checker = checker;
    for (int i = 0; i < 2 * zones.size(); i++) {
      String name = "llm" + i;
      servers.put(name, new Server(name, zones.get(i % zones.size())));
    }
    for (int i = 0; i < zones.size(); i++) {
      String name = "portal" + i;
      servers.put(name, new Server(name, zones.get(i)));
    }
  }

  /** Tells of each run of an ordinary request: its tenant, and its name. */
  void setRunListener(BiConsumer<String, String> listener) {
    runs = listener;
  }

  /** All servers. */
  public List<Server> all() {
    return List.copyOf(servers.values());
  }

  /** When generations began. */
  public List<Long> begunAtMillis() {
    return List.copyOf(begunAtMillis);
  }

  /** Share of orders that get no answer and are carried out late. */
  public void setLateOrders(double newShare) {
    lateOrders = newShare;
  }

  /** Share of score calls whose answer is lost. */
  public void setLostScores(double newShare) {
    lostScores = newShare;
  }

  /** Number of events of an item's text. */
  static int eventsOf(String item) {
    return 1 + Math.floorMod(item.hashCode() * 31, MOST_EVENTS);
  }

  /** The servers as one process reaches them. */
  public BackEndService clientOf(SimulatedProcess process) {
    return new Client(process);
  }

  private final class Run {
    final Server server;
    final String item;
    final Client client;
    final MultiEmitter<? super BackEndService.Progress> emitter;
    long event;
    long toldVersion;
    boolean over;

    Run(
        Server server,
        String item,
        long lastEvent,
        Client client,
        MultiEmitter<? super BackEndService.Progress> emitter) {
      this.server = server;
      this.item = item;
      this.event = lastEvent;
      this.client = client;
      this.emitter = emitter;
      this.toldVersion = server.version;
    }

    void fail(BackEndException.Kind kind, String why) {
      over = true;
      client.deliver(() -> emitter.fail(new BackEndException(kind, why)));
    }

    void next() {
      if (over || !server.runs.contains(this)) {
        return;
      }
      if (event >= eventsOf(item)) {
        over = true;
        server.runs.remove(this);
        client.deliver(emitter::complete);
        return;
      }
      event++;
      long id = event;
      long version = server.version;
      long told = version == toldVersion ? 0 : version;
      toldVersion = version;
      String data = item + ":" + id + ":" + version;
      client.deliver(() -> emitter.emit(new BackEndService.Progress.Event(id, told, data)));
      schedule();
    }

    void schedule() {
      time.after(EVENT_MILLIS * server.slowness * VirtualTime.MICROS_PER_MILLI, this::next);
    }
  }

  private final class Client implements BackEndService {
    private final SimulatedProcess process;
    private final long generation;

    Client(SimulatedProcess process) {
      this.process = process;
      this.generation = process.generation();
    }

    void deliver(Runnable task) {
      time.after(ONE_WAY_MICROS, () -> process.execute(generation, task));
    }

    private Server at(Target target) {
      return servers.get(target.address());
    }

    private void later(long millis, Runnable task) {
      time.after(millis * VirtualTime.MICROS_PER_MILLI + ONE_WAY_MICROS, task);
    }

    @Override
    public Uni<Answer> call(Target target, Call call) {
      return Uni.createFrom().emitter(emitter -> later(0, () -> serve(target, call, emitter)));
    }

    private void serve(Target target, Call call, UniEmitter<? super Answer> emitter) {
      Server server = at(target);
      if (server.dark) {
        return;
      }
      if (server.down || !server.instance().equals(target.instance())) {
        deliver(() -> emitter.fail(notRun("no such server")));
        return;
      }
      crashing.onBegun(server, call.uri(), process.name());
      runs.accept(call.tenant(), call.id());
      boolean lost = random.nextDouble() < lostScores;
      String name = call.uri().substring(call.uri().lastIndexOf('/') + 1);
      Answer answer = new Answer(200, false, "score-of-" + name, List.of(), new byte[0]);
      Runnable cut =
          () ->
              deliver(
                  () ->
                      emitter.fail(
                          new PlatformException(PlatformException.Kind.OUTCOME_UNKNOWN, "reset")));
      server.cutCalls.add(cut);
      int start = server.start;
      later(
          SCORE_MILLIS * server.slowness,
          () -> {
            server.cutCalls.remove(cut);
            if (!lost && !server.down && server.start == start) {
              deliver(() -> emitter.complete(answer));
            }
          });
    }

    private PlatformException notRun(String why) {
      return new PlatformException(PlatformException.Kind.NOT_RUN, why);
    }

    @Override
    public boolean isAnsweringWithoutEnd(Target target) {
      return false;
    }

    @Override
    public Multi<Progress> generate(Target target, Generation generation) {
      return Multi.createFrom()
          .emitter(emitter -> later(0, () -> begin(target, generation, emitter)));
    }

    private void begin(Target target, Generation asked, MultiEmitter<? super Progress> emitter) {
      Server server = at(target);
      if (server.dark) {
        return;
      }
      Run run = new Run(server, asked.call().id(), asked.lastEvent(), this, emitter);
      if (server.down) {
        later(
            REFUSED_CONNECTION_MILLIS,
            () -> run.fail(BackEndException.Kind.UNREACHABLE, "refused"));
      } else if (!server.instance().equals(target.instance())) {
        run.fail(BackEndException.Kind.MISDIRECTED, "another instance");
      } else if (server.loading || server.runs.size() >= MOST_RUNS) {
        run.fail(BackEndException.Kind.REFUSED, "busy");
      } else {
        if (!asked.call().tenant().equals(SimulatedDocuments.TRAINER)) {
          checker.broken(
              "item " + asked.call().id() + " ran for \"" + asked.call().tenant() + "\"");
        }
        server.runs.add(run);
        begunAtMillis.add(time.nowMillis());
        crashing.onBegun(server, asked.call().uri(), process.name());
        emitter.onTermination(() -> server.runs.remove(run));
        long version = server.version;
        deliver(() -> emitter.emit(new Progress.Began(version)));
        run.schedule();
      }
    }

    @Override
    public Uni<Boolean> hasEnded(Target target, long limitMillis) {
      Uni<Boolean> asked =
          Uni.createFrom()
              .emitter(
                  emitter ->
                      later(
                          0,
                          () -> {
                            Server server = at(target);
                            boolean isSame = server.instance().equals(target.instance());
                            if (!server.dark) {
                              deliver(() -> emitter.complete(server.down || !isSame));
                            }
                          }));
      return process.timers().withTimeout(asked, limitMillis, "presence");
    }

    @Override
    public Uni<Report> report(Target target, long limitMillis) {
      Uni<Report> asked =
          Uni.createFrom()
              .emitter(
                  emitter ->
                      later(
                          0,
                          () -> {
                            Server server = at(target);
                            if (server.dark) {
                              return;
                            }
                            if (server.down || !server.instance().equals(target.instance())) {
                              deliver(() -> emitter.fail(notRun("no such server")));
                              return;
                            }
                            Report report =
                                new Report(
                                    server.loading,
                                    server.sequence,
                                    server.bornMillis,
                                    Map.of(MODEL, server.version));
                            deliver(() -> emitter.complete(report));
                          }));
      return process.timers().withTimeout(asked, limitMillis, "report");
    }

    @Override
    public Uni<OrderOutcome> order(Target target, Order order, long limitMillis) {
      Uni<OrderOutcome> sent =
          Uni.createFrom().emitter(emitter -> later(0, () -> take(target, order, emitter)));
      return process.timers().withTimeout(sent, limitMillis, "order");
    }

    private void take(Target target, Order order, UniEmitter<? super OrderOutcome> emitter) {
      Server server = at(target);
      if (server.dark || server.down) {
        return;
      }
      checker.onOrder(server.name, process.name(), order.fence(), time.nowMillis());
      int arrivedAt = server.start;
      if (random.nextDouble() < lateOrders) {
        later(
            LATE_FROM_MILLIS + random.nextInt(LATE_SPREAD_MILLIS),
            () -> carryOut(server, target, order, arrivedAt));
        return;
      }
      OrderOutcome outcome = carryOut(server, target, order, arrivedAt);
      deliver(() -> emitter.complete(outcome));
    }

    private OrderOutcome carryOut(Server server, Target target, Order order, int arrivedAt) {
      boolean matches =
          server.instance().equals(target.instance())
              && !server.loading
              && server.sequence == order.expectedSequence();
      if (server.down || !matches) {
        return OrderOutcome.CONFLICT;
      }
      // What arrived before a restart under the same id names a sequence that the next start has
      // too.
      boolean isOfThisStart = arrivedAt == server.start;
      if (order.version() < server.version && isOfThisStart) {
        checker.broken("order at " + server.name + ": back to version " + order.version());
      }
      server.sequence++;
      server.loading = true;
      int start = server.start;
      later(
          LOAD_MILLIS,
          () -> {
            if (server.start == start && !server.down) {
              server.loading = false;
              server.version = order.version();
            }
          });
      return OrderOutcome.STARTED;
    }
  }
}
