package org.passhaven.simulator.gateway;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.passhaven.core.route.Route;
import org.passhaven.node.gateway.ForwardOutcome;
import org.passhaven.simulator.time.VirtualTime;
import org.passhaven.spi.BackEndService.Call;

/**
 * Callers of lookups: each asks any node that runs, and once more elsewhere if it was not served.
 */
final class SimulatedCallers {
  private static final int TENANTS = 5;
  private static final long DEADLINE_MILLIS = 1_500;
  private static final long AGAIN_MILLIS = 50;
  private static final int MOST_TRIES = 2;
  private final GatewayWorld world;
  private final VirtualTime time;
  private final UniformRandomProvider random;
  private int sent;
  private int served;

  SimulatedCallers(GatewayWorld world, VirtualTime time, UniformRandomProvider random) {
    this.world = world;
    this.time = time;
    this.random = random;
  }

  /** Lookups of {@link #sendOthers} so far. */
  int sent() {
    return sent;
  }

  /** Those of them that were served. */
  int served() {
    return served;
  }

  private void later(long millis, Runnable task) {
    time.after(millis * VirtualTime.MICROS_PER_MILLI, task);
  }

  /** Sends one lookup again and again. */
  void repeat(String path, long everyMillis, long untilMillis) {
    if (time.nowMillis() < untilMillis) {
      ask(path, 1, () -> {});
      later(everyMillis, () -> repeat(path, everyMillis, untilMillis));
    }
  }

  /** Sends lookups of many paths, one of them each time of the given number. */
  void sendOthers(int paths, long everyMillis, long untilMillis) {
    if (time.nowMillis() < untilMillis) {
      sent++;
      ask(SimulatedDocuments.LOOKUP_PATH + "p" + random.nextInt(paths), 1, () -> served++);
      later(everyMillis, () -> sendOthers(paths, everyMillis, untilMillis));
    }
  }

  private void ask(String path, int count, Runnable onServed) {
    List<GatewayHost> ready =
        world.hosts().stream()
            .filter(host -> host.isRunning() && host.gateway().isReady())
            .toList();
    if (ready.isEmpty()) {
      again(path, count, onServed);
      return;
    }
    GatewayHost host = ready.get(random.nextInt(ready.size()));
    host.process()
        .execute(
            host.process().generation(),
            () -> {
              Optional<Route> route = host.gateway().routes().find(SimulatedDocuments.HOST, path);
              if (route.isEmpty()) {
                again(path, count, onServed);
                return;
              }
              String id = path + "#" + random.nextInt(Integer.MAX_VALUE);
              Call call =
                  new Call(
                      id,
                      "tenant" + Math.floorMod(path.hashCode(), TENANTS),
                      "GET",
                      path,
                      SimulatedDocuments.HOST,
                      List.of(),
                      new byte[0],
                      DEADLINE_MILLIS);
              host.gateway()
                  .forwarder()
                  .forward(route.get(), call)
                  .subscribe()
                  .with(outcome -> onOutcome(outcome, path, count, onServed));
            });
  }

  private void onOutcome(ForwardOutcome outcome, String path, int count, Runnable onServed) {
    if (outcome instanceof ForwardOutcome.Answered answered && answered.answer().isSuccess()) {
      onServed.run();
    } else {
      again(path, count, onServed);
    }
  }

  private void again(String path, int count, Runnable onServed) {
    if (count < MOST_TRIES) {
      later(AGAIN_MILLIS, () -> ask(path, count + 1, onServed));
    }
  }
}
