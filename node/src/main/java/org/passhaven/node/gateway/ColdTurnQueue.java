package org.passhaven.node.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.coldstart.ColdStartLimiter;
import org.passhaven.protocol.region.RegionRestriction;
import org.passhaven.spi.Timers;

/**
 * Requests that wait for this node's turns at cold servers, while all servers of their service are
 * cold. Not thread-safe.
 */
final class ColdTurnQueue {
  private final GatewayContext context;
  private final PlatformDirectory directory;
  private final Map<String, Integer> waitingByService = new HashMap<>();

  ColdTurnQueue(GatewayContext context, PlatformDirectory directory) {
    this.context = Objects.requireNonNull(context, "context");
    this.directory = Objects.requireNonNull(directory, "directory");
  }

  /**
   * Runs a task at the first turn that no other request waits for. Returns empty if that is too
   * late, so that the request can be rejected at once.
   *
   * @param latestMillis time until which the request can wait
   */
  Optional<Timers.Timer> await(
      String service, RegionRestriction restriction, long latestMillis, Runnable task) {
    OptionalLong delayMillis = millisUntilTurn(service, restriction);
    if (delayMillis.isEmpty() || context.nowMillis() + delayMillis.getAsLong() > latestMillis) {
      return Optional.empty();
    }
    Waiter waiter = new Waiter(service, task);
    waiter.timer = context.timers().after(Math.max(1, delayMillis.getAsLong()), waiter::onTurn);
    return Optional.of(waiter);
  }

  private OptionalLong millisUntilTurn(String service, RegionRestriction restriction) {
    ColdStartLimiter coldStarts = directory.coldStarts();
    if (!coldStarts.limits(service)) {
      return OptionalLong.empty();
    }
    long now = context.nowMillis();
    List<ServerEntry> cold =
        directory.candidatesOf(service, restriction).stream()
            .filter(server -> coldStarts.isLimited(server, now))
            .toList();
    int ahead = waitingByService.getOrDefault(service, 0) / Math.max(1, cold.size());
    return cold.stream()
        .map(server -> coldStarts.millisUntilTurn(server, ahead, now))
        .filter(OptionalLong::isPresent)
        .mapToLong(OptionalLong::getAsLong)
        .min();
  }

  private final class Waiter implements Timers.Timer {
    private final String service;
    private final Runnable task;
    private Timers.Timer timer;
    private boolean isOver;

    Waiter(String service, Runnable task) {
      this.service = service;
      this.task = task;
      waitingByService.merge(service, 1, Integer::sum);
    }

    void onTurn() {
      leave();
      task.run();
    }

    private void leave() {
      isOver = true;
      waitingByService.computeIfPresent(service, (key, count) -> count > 1 ? count - 1 : null);
    }

    @Override
    public void cancel() {
      if (!isOver) {
        leave();
        timer.cancel();
      }
    }
  }
}
