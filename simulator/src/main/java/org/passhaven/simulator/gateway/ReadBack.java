package org.passhaven.simulator.gateway;

import org.passhaven.node.gateway.JobOutcome;
import org.passhaven.simulator.time.VirtualTime;

/** Reading of one job at one node. */
final class ReadBack {
  private static final long AGAIN_MILLIS = 500;
  private final VirtualTime time;
  private final GatewayChecker checker;
  private final GatewayHost host;
  private final String job;
  private final long untilMillis;

  ReadBack(
      VirtualTime time, GatewayChecker checker, GatewayHost host, String job, long untilMillis) {
    this.time = time;
    this.checker = checker;
    this.host = host;
    this.job = job;
    this.untilMillis = untilMillis;
  }

  void read(int from) {
    if (time.nowMillis() + AGAIN_MILLIS >= untilMillis) {
      checker.broken(job + " can't be read at the end at " + host.process().name());
      return;
    }
    if (!host.isRunning()) {
      after(AGAIN_MILLIS, () -> read(from));
      return;
    }
    host.process()
        .execute(
            host.process().generation(),
            () ->
                host.gateway()
                    .jobs()
                    .read(SimulatedDocuments.TRAINER, job, from, 0)
                    .subscribe()
                    .with(outcome -> onRead(from, outcome)));
  }

  private void onRead(int from, JobOutcome outcome) {
    if (outcome instanceof JobOutcome.Results results) {
      checker.onRead(job, from, results.results());
      if (!results.results().isEmpty()) {
        read(results.next());
      } else if (from < checker.readResults(job)) {
        checker.broken(job + " lacks results at the end at " + host.process().name());
      }
    } else if (outcome instanceof JobOutcome.NotFound) {
      checker.broken(job + " is unknown at the end at " + host.process().name());
    } else {
      after(AGAIN_MILLIS, () -> read(from));
    }
  }

  private void after(long millis, Runnable task) {
    time.after(millis * VirtualTime.MICROS_PER_MILLI, task);
  }
}
