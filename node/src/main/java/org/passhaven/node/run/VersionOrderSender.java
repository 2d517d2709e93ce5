package org.passhaven.node.run;

import java.util.Collection;
import java.util.Objects;
import java.util.Set;
import org.passhaven.core.routing.EngineView;
import org.passhaven.core.weights.VersionRollout;
import org.passhaven.node.NodeContext;
import org.passhaven.node.backend.EngineDirectory;
import org.passhaven.protocol.ServerId;
import org.passhaven.spi.EngineService.OrderOutcome;
import org.passhaven.spi.EngineService.VersionOrder;

/**
 * Orders the engines of one shard's owner to load the trainer's weight version. The version is also
 * the epoch of the order: engines reject an order with a lower epoch than they have seen, so a
 * superseded owner can't make an engine load an older version.
 */
final class VersionOrderSender {
  private final NodeContext context;
  private final EngineDirectory engines;
  private final VersionRollout rollout;

  VersionOrderSender(NodeContext context, EngineDirectory engines) {
    this.context = Objects.requireNonNull(context, "context");
    this.engines = Objects.requireNonNull(engines, "engines");
    this.rollout = new VersionRollout(context.settings().maxConcurrentSwaps());
  }

  /**
   * Sends the orders that are due. The engines in {@code awaited}, which run samples that a trainer
   * waits for, are deferred for a limited time.
   */
  void send(Collection<EngineView> ownEngines, Set<ServerId> awaited, String model, long version) {
    for (EngineView engine :
        rollout.plan(ownEngines, awaited, version, context.timers().nowMillis())) {
      order(engine, new VersionOrder(model, version, version));
    }
  }

  private void order(EngineView engine, VersionOrder order) {
    context
        .platform()
        .engines()
        .order(engine.address(), order)
        .subscribe()
        .with(
            outcome -> onOutcome(engine, order, outcome == OrderOutcome.DONE),
            failure -> onOutcome(engine, order, false));
  }

  private void onOutcome(EngineView engine, VersionOrder order, boolean done) {
    rollout.onResponse(engine.id(), done, context.timers().nowMillis());
    if (done) {
      engines.onVersionObserved(engine.id(), engine.incarnation(), order.version());
    }
  }
}
