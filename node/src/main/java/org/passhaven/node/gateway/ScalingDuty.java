package org.passhaven.node.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.job.Job;
import org.passhaven.core.job.JobDemand;
import org.passhaven.core.job.JobTable;
import org.passhaven.core.scale.BacklogPolicy;
import org.passhaven.core.scale.Backoff;
import org.passhaven.core.scale.ScalingDecision;
import org.passhaven.core.scale.ScalingDecision.Reason;
import org.passhaven.core.scale.ScalingOrders;
import org.passhaven.core.scale.ScalingOrders.Due;
import org.passhaven.core.scale.ScalingOrders.Subject;
import org.passhaven.core.scale.ServiceScaler;
import org.passhaven.core.service.ServiceSpec;
import org.passhaven.protocol.duty.DutyRecord;
import org.passhaven.protocol.duty.ServiceFigures;
import org.passhaven.protocol.job.JobRecord;
import org.passhaven.spi.DutyService.ScaleOrder;
import org.passhaven.spi.DutyService.ScaleOutcome;
import org.passhaven.spi.PlatformException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The duty that orders the number of servers of each service that can be scaled. An order is in the
 * log before it is sent, and is sent again unchanged until the platform answers. All nodes decide,
 * so that they know whether a lease holder is needed; only the holder orders.
 */
final class ScalingDuty implements Duty {
  private static final Logger LOG = LoggerFactory.getLogger(ScalingDuty.class);
  private static final long CALL_TIMEOUT_MILLIS = 700;

  /** Limits the work of nodes that do not hold the lease. */
  private static final long DECISION_INTERVAL_MILLIS = 500;

  /** Longer than a read that waits for changes takes. */
  private static final long MAX_SERVERS_AGE_MILLIS = 3_000;

  /** Longer than the pauses between reads on nodes that own no run. */
  private static final long MAX_JOBS_AGE_MILLIS = 5_000;

  /** Time after which a record is appended again if it was not read back. */
  private static final long APPEND_RETRY_DELAY_MILLIS = 1_500;

  /** The platform limits the rate of calls. */
  private static final long CALL_INTERVAL_MILLIS = 300;

  private static final long FIRST_RETRY_MILLIS = 500;
  private static final long MAX_RETRY_MILLIS = 8_000;

  /** Delay before a zone that had no servers to give is asked again. */
  private static final long FIRST_UNAVAILABLE_MILLIS = 5_000;

  private static final long MAX_UNAVAILABLE_MILLIS = 60_000;
  private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;
  private final GatewayContext context;
  private final PlatformDirectory directory;
  private final JobLog jobs;
  private final DutyAgent duties;
  private final ScalingOrders orders = new ScalingOrders();
  private final Map<String, ServiceScaler> scalers = new HashMap<>();
  private final Map<String, ScalingDecision> decisions = new HashMap<>();
  private final Map<Job, Integer> finishedByJob = new HashMap<>();
  private final Backoff<Subject> retries = new Backoff<>(FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS);
  private final Backoff<Subject> unavailable =
      new Backoff<>(FIRST_UNAVAILABLE_MILLIS, MAX_UNAVAILABLE_MILLIS);
  private long lastDecisionMillis = NEVER_MILLIS;
  private long lastAppendMillis = NEVER_MILLIS;
  private long lastRecordMillis = NEVER_MILLIS;
  private long lastCallMillis = NEVER_MILLIS;
  private long nextNumber = 1;
  private Map<String, ServiceFigures> lastAppended = Map.of();
  private boolean isCalling;

  /** Creates the duty and adds it to the agent. */
  ScalingDuty(GatewayContext context, PlatformDirectory directory, JobLog jobs, DutyAgent duties) {
    this.context = Objects.requireNonNull(context, "context");
    this.directory = Objects.requireNonNull(directory, "directory");
    this.jobs = Objects.requireNonNull(jobs, "jobs");
    this.duties = Objects.requireNonNull(duties, "duties");
    jobs.addListener(this::onJobRecord);
    duties.add(this);
  }

  private void onJobRecord(JobRecord.OfJob record, JobTable.Effect effect) {
    // Results read during the initial catch-up were produced at an unknown time.
    if (effect == JobTable.Effect.RESULT_RECORDED && jobs.isCaughtUp()) {
      Job job = jobs.table().get(record.job());
      if (job != null) {
        finishedByJob.merge(job, 1, Integer::sum);
      }
    }
  }

  private List<ServiceSpec> services() {
    return directory.routes().services().values().stream()
        .filter(service -> service.scaling().isPresent())
        .toList();
  }

  @Override
  public void onHolderChanged(boolean isHolder) {
    orders.reset();
    retries.clear();
    unavailable.clear();
    decisions.clear();
    lastAppended = Map.of();
  }

  @Override
  public void onRecord(DutyRecord record) {
    if (record instanceof DutyRecord.ScalingFigures figures) {
      boolean isOwn =
          figures.node().equals(context.settings().node())
              && figures.incarnation() == context.incarnation();
      if (orders.onRecord(figures, duties.epoch(), isOwn)) {
        lastRecordMillis = context.nowMillis();
      }
    }
  }

  @Override
  public boolean isNeeded(long nowMillis) {
    if (!isEnabled()) {
      return false;
    }
    decide(nowMillis);
    boolean isHolder = duties.isHolder();
    if (isHolder && (!orders.isRecorded() || isRenewalDue(nowMillis))) {
      return true;
    }
    // Only the holder knows where no servers are to be had, so a live one decides alone.
    boolean mayDecide = isHolder || !duties.isHolderAlive(nowMillis);
    return !orders.due().isEmpty()
        || (mayDecide && services().stream().anyMatch(service -> isChangeDue(service, nowMillis)));
  }

  private boolean isEnabled() {
    return context.settings().mayScale() && directory.isConfigured() && !services().isEmpty();
  }

  /** Returns whether an order or the floor of a service is to be changed. */
  private boolean isChangeDue(ServiceSpec service, long nowMillis) {
    ScalingDecision decision = decisions.get(service.name());
    boolean isChanged =
        decision != null
            && !decision.isEmpty()
            && (duties.isHolder() || decision.reason() != Reason.NOT_DELIVERED);
    return isChanged || newFloor(service, nowMillis).isPresent();
  }

  private boolean isRenewalDue(long nowMillis) {
    return !orders.figures().isEmpty()
        && nowMillis - lastRecordMillis >= context.settings().lease().renewAfterMillis();
  }

  /** Returns the floor to record for a service; empty if it stays or its servers still change. */
  private OptionalInt newFloor(ServiceSpec service, long nowMillis) {
    ServiceScaler scaler = scalers.get(service.name());
    if (scaler == null || !areServersKnown()) {
      return OptionalInt.empty();
    }
    ServiceFigures figures = orders.of(service.name());
    OptionalInt settled = scaler.settledServers(figures, nowMillis);
    return settled.isPresent() && settled.getAsInt() > figures.floor()
        ? settled
        : OptionalInt.empty();
  }

  /** Updates the decisions from the present view of servers and jobs, if it is current. */
  private void decide(long nowMillis) {
    if (nowMillis - lastDecisionMillis < DECISION_INTERVAL_MILLIS) {
      return;
    }
    lastDecisionMillis = nowMillis;
    decisions.clear();
    boolean areServersKnown = areServersKnown();
    boolean areJobsKnown = isAtMost(jobs.ageMillis(), MAX_JOBS_AGE_MILLIS);
    Collection<Job> openJobs = areJobsKnown ? jobs.table().openJobs() : List.of();
    for (ServiceSpec service : services()) {
      ServiceScaler scaler =
          scalers.computeIfAbsent(service.name(), name -> new ServiceScaler(new BacklogPolicy()));
      if (!areServersKnown || !areJobsKnown) {
        scaler.onBlind();
      }
      if (areServersKnown) {
        decide(service, scaler, openJobs, nowMillis);
      }
    }
    finishedByJob.clear();
  }

  private boolean areServersKnown() {
    return isAtMost(directory.serversAgeMillis(), MAX_SERVERS_AGE_MILLIS);
  }

  private static boolean isAtMost(OptionalLong ageMillis, long maxMillis) {
    return ageMillis.isPresent() && ageMillis.getAsLong() <= maxMillis;
  }

  private void decide(
      ServiceSpec service, ServiceScaler scaler, Collection<Job> openJobs, long nowMillis) {
    List<ServerEntry> servers =
        directory.servers().all().stream()
            .filter(server -> server.service().equals(service.name()))
            .toList();
    Set<String> models = new HashSet<>();
    servers.forEach(server -> models.addAll(server.versions().keySet()));
    scaler.onFinished(finishedItems(models, service.name()));
    int openItems = JobDemand.openItems(openJobs, models, directory.routes(), service.name());
    scaler.observe(servers, openItems, orders.of(service.name()), nowMillis);
    decisions.put(
        service.name(),
        scaler.decide(
            service,
            orders.of(service.name()),
            blockedZones(service.name(), servers, nowMillis),
            openItems,
            nowMillis));
  }

  /** Returns how many of the items finished since the last decision a service has run. */
  private int finishedItems(Set<String> models, String service) {
    double items = 0;
    for (Map.Entry<Job, Integer> finished : finishedByJob.entrySet()) {
      Job job = finished.getKey();
      if (models.contains(job.submission().model())) {
        items += finished.getValue() * JobDemand.shareOf(job, directory.routes(), service);
      }
    }
    return (int) Math.round(items);
  }

  private Set<String> blockedZones(String service, List<ServerEntry> servers, long nowMillis) {
    Set<String> zones = new HashSet<>(orders.of(service).zones().keySet());
    servers.forEach(server -> zones.add(server.zone()));
    zones.removeIf(
        zone ->
            !unavailable.isWaiting(new Subject(service, zone), nowMillis)
                && !directory.isEvacuated(zone));
    return zones;
  }

  @Override
  public void act(long nowMillis) {
    if (!isEnabled() || isCalling) {
      return;
    }
    decide(nowMillis);
    if (orders.isRecorded() && areServersKnown()) {
      services().forEach(service -> apply(service, nowMillis));
    }
    if (!orders.isRecorded() || isRenewalDue(nowMillis)) {
      record(nowMillis);
    } else if (nowMillis - lastCallMillis >= CALL_INTERVAL_MILLIS) {
      orders.nextToSend(due -> maySend(due, nowMillis)).ifPresent(due -> send(due, nowMillis));
    }
  }

  /** Takes up the decision on a service, which is sent once it was recorded. */
  private void apply(ServiceSpec service, long nowMillis) {
    newFloor(service, nowMillis).ifPresent(floor -> orders.raiseFloor(service.name(), floor));
    ScalingDecision decision = decisions.remove(service.name());
    if (decision == null || decision.isEmpty()) {
      return;
    }
    decision
        .orders()
        .forEach(
            (zone, servers) -> {
              Subject subject = new Subject(service.name(), zone);
              logOrder(subject, servers, decision);
              if (servers > service.scaling().orElseThrow().maxServers()) {
                orders.withdraw(subject);
              } else {
                orders.order(subject, servers);
              }
              if (decision.reason() == Reason.NOT_DELIVERED) {
                unavailable.onFailed(subject, nowMillis);
              }
            });
    scalers.get(service.name()).onOrdered(decision.reason(), nowMillis);
  }

  private void logOrder(Subject subject, int servers, ScalingDecision decision) {
    var before = orders.of(subject.service()).zones().get(subject.zone());
    LOG.atInfo()
        .addKeyValue("service", subject.service())
        .addKeyValue("zone", subject.zone())
        .addKeyValue("before", before == null ? "" : before.servers())
        .addKeyValue("wanted", servers)
        .addKeyValue("reason", decision.reason())
        .addKeyValue("expectedInAllZones", decision.expected())
        .addKeyValue("wantedInAllZones", decision.wanted())
        .addKeyValue("serversAgeMillis", directory.serversAgeMillis().orElse(-1))
        .addKeyValue("jobsAgeMillis", jobs.ageMillis().orElse(-1))
        .log("scaling: servers wanted");
  }

  private void record(long nowMillis) {
    boolean isPending = orders.figures().equals(lastAppended);
    if (isPending && nowMillis - lastAppendMillis < APPEND_RETRY_DELAY_MILLIS) {
      return;
    }
    lastAppended = orders.figures();
    lastAppendMillis = nowMillis;
    duties.append(
        new DutyRecord.ScalingFigures(
            duties.epoch(),
            context.settings().node(),
            context.incarnation(),
            nextNumber++,
            orders.figures()));
  }

  /** Servers may have come since the order was decided, and must not be taken away by it. */
  private boolean maySend(Due due, long nowMillis) {
    String service = due.subject().service();
    String zone = due.subject().zone();
    ServiceScaler scaler = scalers.get(service);
    if (scaler == null || !areServersKnown() || retries.isWaiting(due.subject(), nowMillis)) {
      return false;
    }
    long ready =
        directory.servers().all().stream()
            .filter(server -> server.service().equals(service) && server.zone().equals(zone))
            .filter(ServerEntry::ready)
            .count();
    return due.order().servers() >= Math.max(ready, scaler.countedServers(zone, nowMillis));
  }

  private void send(Due due, long nowMillis) {
    if (!duties.mayAct()) {
      return;
    }
    isCalling = true;
    lastCallMillis = nowMillis;
    Subject subject = due.subject();
    ScaleOrder order =
        new ScaleOrder(
            context.settings().node(),
            duties.epoch(),
            subject.service(),
            subject.zone(),
            /* spot= */ false,
            due.order().servers());
    duties.onCallSent();
    context
        .duties()
        .scale(order, CALL_TIMEOUT_MILLIS)
        .subscribe()
        .with(
            outcome -> onAnswer(subject, order, outcome),
            failure -> onFailed(subject, order, PlatformException.from(failure)));
  }

  private void onAnswer(Subject subject, ScaleOrder order, ScaleOutcome outcome) {
    isCalling = false;
    log(order, outcome.name());
    if (isCurrent(order)) {
      retries.onSucceeded(subject);
      if (outcome == ScaleOutcome.ACCEPTED) {
        orders.onAccepted(subject, order.servers());
      } else {
        orders.withdraw(subject);
        unavailable.onFailed(subject, context.nowMillis());
      }
    }
    context.metrics().onScaleOrder(outcome == ScaleOutcome.ACCEPTED ? "accepted" : "unavailable");
    duties.onCallAnswered();
  }

  private void onFailed(Subject subject, ScaleOrder order, PlatformException failure) {
    isCalling = false;
    log(order, failure.getMessage());
    if (isCurrent(order)) {
      retries.onFailed(subject, context.nowMillis());
    }
    context.metrics().onScaleOrder("failed");
    if (failure.kind() == PlatformException.Kind.NOT_RUN) {
      duties.onCallAnswered();
    } else {
      duties.onCallUnanswered();
    }
  }

  /** Returns whether this node still holds the lease under which it sent an order. */
  private boolean isCurrent(ScaleOrder order) {
    return duties.isHolder() && duties.epoch() == order.fence();
  }

  private static void log(ScaleOrder order, String outcome) {
    LOG.atInfo()
        .addKeyValue("service", order.service())
        .addKeyValue("zone", order.zone())
        .addKeyValue("servers", order.servers())
        .addKeyValue("fence", order.fence())
        .addKeyValue("outcome", outcome)
        .log("scaling: order sent");
  }
}
