package org.passhaven.node.gateway;

import java.util.List;
import java.util.Objects;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.order.WeightDemand;
import org.passhaven.core.order.WeightLoadPlanner;
import org.passhaven.core.order.WeightLoadPlanner.WeightLoad;
import org.passhaven.protocol.duty.DutyRecord;
import org.passhaven.spi.BackEndService.Order;
import org.passhaven.spi.BackEndService.OrderOutcome;
import org.passhaven.spi.BackEndService.Report;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The duty that orders servers to load the newest announced weight versions. Each order carries the
 * sequence number of a server report read just before, so that the server ignores a delayed order
 * once it has accepted another.
 */
final class VersionOrderDuty implements Duty {
  private static final Logger LOG = LoggerFactory.getLogger(VersionOrderDuty.class);
  private static final long CALL_TIMEOUT_MILLIS = 700;
  private static final long POLL_INTERVAL_MILLIS = 150;
  private static final long FIRST_POLL_DELAY_MILLIS = 850;
  private static final long LOAD_TIMEOUT_MILLIS = 5_000;

  /** Reports show a server's state of some hundred milliseconds ago. */
  private static final long CONFIRM_TIMEOUT_MILLIS = 1_000;

  private static final long RETRY_DELAY_MILLIS = 400;
  private static final long UNREACHABLE_RETRY_DELAY_MILLIS = 1_500;

  private final GatewayContext context;
  private final PlatformDirectory directory;
  private final JobLog jobs;
  private final DutyAgent duties;
  private final WeightLoadPlanner planner;

  /** Creates the duty and adds it to the agent. */
  VersionOrderDuty(
      GatewayContext context, PlatformDirectory directory, JobLog jobs, DutyAgent duties) {
    this.context = Objects.requireNonNull(context, "context");
    this.directory = Objects.requireNonNull(directory, "directory");
    this.jobs = Objects.requireNonNull(jobs, "jobs");
    this.duties = Objects.requireNonNull(duties, "duties");
    this.planner = new WeightLoadPlanner(context.settings().loadLimit());
    directory.addListener(duties::decide);
    duties.add(this);
  }

  @Override
  public void onRecord(DutyRecord record) {
    if (record instanceof DutyRecord.Reached reached) {
      directory.onVersionLoaded(
          new ServerIncarnation(reached.server(), reached.serverBornMillis()),
          reached.model(),
          reached.version());
    }
  }

  @Override
  public void onHolderChanged(boolean isHolder) {
    planner.reset();
  }

  @Override
  public boolean isNeeded(long nowMillis) {
    return planner.hasWork(servers(), demand(), nowMillis);
  }

  @Override
  public void act(long nowMillis) {
    planner.startLoads(servers(), demand(), nowMillis).forEach(this::checkServer);
  }

  /** Returns the servers of routed services; others may not belong to this platform. */
  private List<ServerEntry> servers() {
    return directory.servers().all().stream()
        .filter(server -> directory.routes().usesService(server.service()))
        .toList();
  }

  private WeightDemand demand() {
    return new WeightDemand(directory.newestVersions(), jobs.openItemsByModel());
  }

  /** Reads a server's report, then orders the version if the server needs it. */
  private void checkServer(WeightLoad wanted) {
    context
        .backEnds()
        .report(ServerTargets.of(wanted.server()), CALL_TIMEOUT_MILLIS)
        .subscribe()
        .with(report -> onReport(wanted, report), failure -> onUnreachable(wanted, failure));
  }

  private void onReport(WeightLoad wanted, Report report) {
    if (isOfOtherIncarnation(wanted, report)) {
      retryLater(wanted, "the server has restarted");
    } else if (report.versions().getOrDefault(wanted.model(), 0L) >= wanted.version()) {
      onVersionReached(wanted);
    } else if (report.busy()) {
      retryLater(wanted, "another order is in progress");
    } else {
      order(wanted, report.sequence());
    }
  }

  /** Returns whether the report is of another incarnation of the server. */
  private static boolean isOfOtherIncarnation(WeightLoad wanted, Report report) {
    return report.startMillis() != wanted.server().incarnation().startMillis();
  }

  private void order(WeightLoad wanted, long sequence) {
    if (!duties.mayAct()) {
      retryLater(wanted, "the duty lease is not valid");
      return;
    }
    Order order =
        new Order(
            wanted.model(), wanted.version(), context.settings().node(), duties.epoch(), sequence);
    LOG.atInfo()
        .addKeyValue("server", wanted.server().incarnation())
        .addKeyValue("model", wanted.model())
        .addKeyValue("version", wanted.version())
        .addKeyValue("fence", duties.epoch())
        .addKeyValue("sequence", sequence)
        .log("orders: version ordered");
    context.metrics().ordersSent.increment();
    duties.onCallSent();
    context
        .backEnds()
        .order(ServerTargets.of(wanted.server()), order, CALL_TIMEOUT_MILLIS)
        .subscribe()
        .with(
            outcome -> {
              onOrdered(wanted, outcome);
              duties.onCallAnswered();
            },
            failure -> {
              duties.onCallUnanswered();
              onUnreachable(wanted, failure);
            });
  }

  private void onOrdered(WeightLoad wanted, OrderOutcome outcome) {
    if (outcome == OrderOutcome.IN_EFFECT) {
      // All nodes rely on a reached version for good, so the server's state has to name it first.
      pollLoad(wanted, context.nowMillis() + CONFIRM_TIMEOUT_MILLIS);
    } else if (outcome == OrderOutcome.STARTED) {
      long deadlineMillis = context.nowMillis() + LOAD_TIMEOUT_MILLIS;
      context.timers().after(FIRST_POLL_DELAY_MILLIS, () -> pollLoad(wanted, deadlineMillis));
    } else {
      retryLater(wanted, "the server answered " + outcome);
    }
  }

  /** Polls the server until it has loaded the version or the time limit has passed. */
  private void pollLoad(WeightLoad wanted, long deadlineMillis) {
    ServerEntry entry = directory.servers().get(wanted.server().incarnation());
    if (entry != null && entry.versionOf(wanted.model()) >= wanted.version()) {
      onVersionReached(wanted);
      return;
    }
    if (entry == null || context.nowMillis() >= deadlineMillis) {
      retryLater(wanted, "the server does not report the version in time");
      return;
    }
    context
        .backEnds()
        .report(ServerTargets.of(wanted.server()), CALL_TIMEOUT_MILLIS)
        .subscribe()
        .with(
            report -> onLoadReport(wanted, report, deadlineMillis),
            failure ->
                context
                    .timers()
                    .after(POLL_INTERVAL_MILLIS, () -> pollLoad(wanted, deadlineMillis)));
  }

  private void onLoadReport(WeightLoad wanted, Report report, long deadlineMillis) {
    if (isOfOtherIncarnation(wanted, report)) {
      retryLater(wanted, "the server restarted during the load");
    } else if (report.versions().getOrDefault(wanted.model(), 0L) >= wanted.version()) {
      onVersionReached(wanted);
    } else {
      context.timers().after(POLL_INTERVAL_MILLIS, () -> pollLoad(wanted, deadlineMillis));
    }
  }

  private void onVersionReached(WeightLoad wanted) {
    ServerIncarnation server = wanted.server().incarnation();
    directory.onVersionLoaded(server, wanted.model(), wanted.version());
    duties.append(
        new DutyRecord.Reached(
            duties.epoch(),
            context.settings().node(),
            context.incarnation(),
            server.id(),
            server.startMillis(),
            wanted.model(),
            wanted.version()));
    planner.onLoaded(server);
    duties.decide();
  }

  private void onUnreachable(WeightLoad wanted, Throwable failure) {
    logNotDone(wanted, failure.getMessage());
    planner.onUnreachable(
        wanted.server().incarnation(), context.nowMillis() + UNREACHABLE_RETRY_DELAY_MILLIS);
  }

  private void retryLater(WeightLoad wanted, String reason) {
    logNotDone(wanted, reason);
    planner.onFailed(wanted.server().incarnation(), context.nowMillis() + RETRY_DELAY_MILLIS);
  }

  private static void logNotDone(WeightLoad wanted, String reason) {
    LOG.atInfo()
        .addKeyValue("server", wanted.server().incarnation())
        .addKeyValue("model", wanted.model())
        .addKeyValue("version", wanted.version())
        .addKeyValue("reason", reason)
        .log("orders: not done");
  }
}
