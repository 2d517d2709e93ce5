package org.passhaven.node.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the periodic decisions of a node's components on one timer, so that they wake the process
 * once. Not thread-safe.
 */
final class DecisionTick {
  private static final Logger LOG = LoggerFactory.getLogger(DecisionTick.class);
  private final GatewayContext context;
  private final List<Runnable> decisions = new ArrayList<>();

  /** Creates a tick that starts with its first decision. */
  DecisionTick(GatewayContext context) {
    this.context = Objects.requireNonNull(context, "context");
  }

  /** Adds a decision to be run at each decision interval, after those added before. */
  void add(Runnable decision) {
    decisions.add(Objects.requireNonNull(decision, "decision"));
    if (decisions.size() == 1) {
      context.timers().every(context.settings().decisionInterval().toMillis(), this::run);
    }
  }

  private void run() {
    decisions.forEach(DecisionTick::runLogged);
  }

  /** Logs exceptions, so that the other decisions and later ticks are still run. */
  private static void runLogged(Runnable decision) {
    try {
      decision.run();
    } catch (RuntimeException e) {
      LOG.atError().setCause(e).log("node: a decision failed");
    }
  }
}
