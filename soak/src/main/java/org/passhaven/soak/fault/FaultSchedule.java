package org.passhaven.soak.fault;

import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.passhaven.soak.plan.Fault;
import org.passhaven.soak.plan.ProcessHarm;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Does the faults of a plan at their times, on a thread of its own. */
public final class FaultSchedule implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(FaultSchedule.class);
  private final Hands hands;
  private final Consumer<Fault> listener;
  private final ActiveFaults active;
  private final AtomicInteger openCount = new AtomicInteger();
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "faults"));

  /** A schedule without faults; the consumer hears of each that begins. */
  public FaultSchedule(Hands hands, Consumer<Fault> listener) {
    this.hands = hands;
    this.listener = listener;
    this.active = new ActiveFaults(hands);
  }

  /** Does these faults; their times count from now. */
  public void add(List<Fault> faults) {
    for (Fault fault : faults) {
      openCount.incrementAndGet();
      after(fault.atMillis(), () -> begin(fault));
    }
  }

  /** How many faults have not ended yet. */
  public int openCount() {
    return openCount.get();
  }

  /** Does no more of them. */
  @Override
  public void close() {
    executor.shutdownNow();
  }

  private void begin(Fault fault) {
    listener.accept(fault);
    active.begin(fault);
    if (fault instanceof Fault.OnProcess process && process.harm() == ProcessHarm.TERMINATE) {
      openCount.addAndGet(process.nodes().size() - 1);
      process.nodes().forEach(node -> terminate(process, node));
    } else {
      after(fault.forMillis(), () -> end(fault));
    }
  }

  private void terminate(Fault.OnProcess process, int node) {
    Fault one =
        new Fault.OnProcess(process.atMillis(), process.forMillis(), process.harm(), List.of(node));
    hands.terminate(node, () -> after(process.forMillis(), () -> end(one)));
  }

  private void end(Fault fault) {
    active.end(fault);
    openCount.decrementAndGet();
  }

  private void after(long millis, Runnable step) {
    if (executor.isShutdown()) {
      return;
    }
    var unused = executor.schedule(() -> run(step), millis, TimeUnit.MILLISECONDS);
  }

  private static void run(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException e) {
      LOG.atError().setCause(e).log("soak: a fault can't be done");
    }
  }
}
