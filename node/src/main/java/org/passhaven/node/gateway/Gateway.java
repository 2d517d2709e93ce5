package org.passhaven.node.gateway;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.passhaven.core.eligibility.ServerEligibility;
import org.passhaven.core.route.RouteTable;
import org.passhaven.protocol.member.MemberBeat;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A gateway node: wires membership, configuration, request forwarding, batch jobs and duties
 * together, without the HTTP servers. Not thread-safe: all calls are made on the node's event loop.
 */
public final class Gateway {
  private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);
  private static final int MIN_NEAR_NODES = 2;
  private static final int MAX_ADDRESSES = 64;

  /**
   * Batches reads of server entries on nodes that own no run, since the entries of a large site
   * change several times a second. Far shorter than the time within which a node must know that a
   * server is leaving.
   */
  private static final long IDLE_SERVER_READ_PAUSE_MILLIS = 400;

  /**
   * Pause between reads of heartbeats on nodes that must detect failures quickly: those that own a
   * run, are on standby for open jobs, or have just started.
   */
  private static final long OWNER_HEARTBEAT_READ_PAUSE_MILLIS = 250;

  /** Pause between reads of heartbeats on nodes that callers recently asked for addresses. */
  private static final long DISCOVERY_HEARTBEAT_READ_PAUSE_MILLIS = 500;

  /** Pause between reads of heartbeats on all other nodes. */
  private static final long IDLE_HEARTBEAT_READ_PAUSE_MILLIS = 1_000;

  /** Time after a request for addresses in which another one is expected. */
  private static final long DISCOVERY_ACTIVE_MILLIS = 5_000;

  /** Delay after which jobs are followed even if the heartbeats of other nodes are unreadable. */
  private static final long FOLLOW_JOBS_DELAY_MILLIS = 1_500;

  private final GatewayContext context;
  private final MembershipAgent members;
  private final PlatformDirectory directory;
  private final CrashTracker crashes;
  private final RequestForwarder forwarder;
  private final JobLog jobLog;
  private final JobService jobs;
  private final JobRunner runner;
  private final DutyAgent duties;
  private final Optional<UsageMeter> meter;
  private long lastDiscoveryMillis = Long.MIN_VALUE / 2;
  private boolean stopping;

  /** Creates a node; {@link #start} starts its work. */
  public Gateway(GatewayContext baseContext) {
    GatewayContext unchecked =
        Objects.requireNonNull(baseContext, "context").withClockJumpDetection();
    this.jobLog = new JobLog(unchecked);
    this.directory =
        new PlatformDirectory(
            unchecked, () -> jobLog.ownsAnyRun() ? 0 : IDLE_SERVER_READ_PAUSE_MILLIS);
    this.context =
        unchecked.withBackEnds(
            new EligibleBackEnds(
                unchecked.backEnds(),
                directory.eligibility(),
                directory.servers()::getById,
                unchecked::nowMillis,
                unchecked.metrics()));
    this.crashes = new CrashTracker(context, directory);
    this.meter =
        context.settings().usage().map(usage -> new UsageMeter(context, usage, this::liveNodes));
    this.forwarder =
        new RequestForwarder(
            context,
            directory,
            this::acceptingNodes,
            crashes,
            (tenant, sentAtMillis) ->
                meter.ifPresent(usageMeter -> usageMeter.onRunStarted(tenant, sentAtMillis)));
    this.members =
        new MembershipAgent(
            context,
            forwarder::requestsPerSecond,
            this::isDependedOn,
            this::heartbeatReadPauseMillis);
    limitColdStarts();
    this.jobs = new JobService(context, jobLog, directory::routes);
    this.runner = new JobRunner(context, directory, members, jobLog, forwarder);
    this.duties = new DutyAgent(context, members, jobLog);
    new VersionOrderDuty(context, directory, jobLog, duties);
    new ScalingDuty(context, directory, jobLog, duties);
    meter.ifPresent(usageMeter -> new UsageReporter(context, duties, usageMeter));
  }

  /** Derives this node's share of the load of cold servers from the heartbeats of all nodes. */
  private void limitColdStarts() {
    directory.coldStarts().trustSharesWhile(members::isMembershipKnown);
    members.shareOwnedRuns(
        () -> directory.coldStarts().isInUse() ? jobLog.owners().ownedRuns().size() : 0);
    members.onHeartbeatsRead(
        () -> {
          if (directory.coldStarts().isInUse()) {
            directory.coldStartShares().onHeartbeats(acceptingNodes(), context.nowMillis());
          }
        });
  }

  /** Starts following the log and the tables, and running jobs and duties. */
  public void start() {
    LOG.atInfo()
        .addKeyValue("node", context.settings().node())
        .addKeyValue("zone", context.settings().zone())
        .addKeyValue("incarnation", context.incarnation())
        .log("node: starts");
    directory.start();
    crashes.start();
    members.start(() -> jobLog.start(members.heartbeats()), jobLog::rescheduleReads);
    context.timers().after(FOLLOW_JOBS_DELAY_MILLIS, () -> jobLog.start(members.heartbeats()));
    members.onClockJump(this::restartReads);
    jobLog.addOwnerListener(members::shortenIntervals);
    jobLog.addOwnerListener(directory::endReadPause);
    context.metrics().registerPartitionsBehind(jobLog);
    context.metrics().registerConfigurationAge(directory);
    context.metrics().registerEvacuatedZones(directory);
    DecisionTick tick = new DecisionTick(context);
    runner.start(tick);
    duties.start(tick);
    meter.ifPresent(UsageMeter::start);
  }

  /** Restarts reads after a suspension, since pending ones may never complete. */
  private void restartReads() {
    directory.restartReads();
    directory.coldStartShares().clear();
    crashes.restartReads();
    duties.restartReads();
  }

  /** Returns whether a failure of this node must be detected quickly. */
  private boolean isDependedOn() {
    return jobLog.ownsAnyRun()
        || duties.isHolder()
        || jobLog.hasRecentCallers()
        || forwarder.requestsPerSecond() > 0
        || announcedAddressesFor(context.settings().zone(), "")
            .contains(context.settings().address());
  }

  private long heartbeatReadPauseMillis() {
    if (jobLog.ownsAnyRun() || jobLog.isStandbyForOpenJobs() || members.hasJustStarted()) {
      return OWNER_HEARTBEAT_READ_PAUSE_MILLIS;
    }
    boolean isDiscoveryActive = context.nowMillis() - lastDiscoveryMillis < DISCOVERY_ACTIVE_MILLIS;
    return isDiscoveryActive
        ? DISCOVERY_HEARTBEAT_READ_PAUSE_MILLIS
        : IDLE_HEARTBEAT_READ_PAUSE_MILLIS;
  }

  /** Returns whether this node accepts new work. */
  public boolean isReady() {
    return !stopping && directory.isConfigured();
  }

  /** Returns whether a planned stop has begun. */
  public boolean isStopping() {
    return stopping;
  }

  /** Returns the routes in force. */
  public RouteTable routes() {
    return directory.routes();
  }

  /**
   * Confirms that the configuration is current, before a final answer that depends on it. Emits
   * true once every configuration that must be in force is in force, false if the store does not
   * answer in time.
   */
  public Uni<Boolean> confirmConfiguration() {
    return directory.confirmConfiguration();
  }

  /** Returns the time since the store last confirmed the configuration; empty if it never did. */
  public OptionalLong configurationAgeMillis() {
    return directory.configurationAgeMillis();
  }

  /** Returns the metrics of this node. */
  public GatewayMetrics metrics() {
    return context.metrics();
  }

  /** Returns the forwarder of requests to model servers. */
  public RequestForwarder forwarder() {
    return forwarder;
  }

  /** Returns the service for batch jobs. */
  public JobService jobs() {
    return jobs;
  }

  /** Returns the check that every request to a server must pass. */
  ServerEligibility eligibility() {
    return directory.eligibility();
  }

  /**
   * Returns the addresses that a caller in {@code zone} should use; empty if it should ask another
   * node. Callers cache the answer, so a node returns none before it knows which nodes are alive.
   */
  public List<String> addressesFor(String zone) {
    return addressesFor(zone, "");
  }

  /**
   * Returns the addresses that a caller should use, as {@link #addressesFor(String)} does.
   *
   * @param region region of the caller; that of its zone if it is not known
   */
  public List<String> addressesFor(String zone, String region) {
    lastDiscoveryMillis = context.nowMillis();
    if (members.isLivenessUnknown()) {
      return List.of();
    }
    List<String> known = announcedAddressesFor(zone, region);
    if (known.isEmpty() && isReady()) {
      return List.of(context.settings().address());
    }
    return known;
  }

  private int liveNodes() {
    return acceptingNodes().size();
  }

  private List<MemberBeat> acceptingNodes() {
    return members.heartbeats().acceptingNodes();
  }

  private List<String> announcedAddressesFor(String zone, String region) {
    return members
        .heartbeats()
        .addressesFor(zone, region, context.settings().topology(), MIN_NEAR_NODES, MAX_ADDRESSES);
  }

  /**
   * Begins a planned stop: announces it to the other nodes and takes no new runs, nor requests that
   * might outlast this node. Requests in flight continue, and so do jobs until another node takes
   * them over.
   *
   * @param endMillis monotonic time at which {@link #close} will be called at the latest
   */
  public Uni<Void> drain(long endMillis) {
    if (stopping) {
      return Uni.createFrom().voidItem();
    }
    LOG.atInfo()
        .addKeyValue("node", context.settings().node())
        .addKeyValue("requests", forwarder.inProgress())
        .addKeyValue("jobs", runner.runningJobCount())
        .log("node: leaves");
    stopping = true;
    duties.stop();
    forwarder.admission().drain(endMillis);
    // Generated texts must be in the log before the heartbeat makes other nodes take over.
    return runner.drain().invoke(members::announceDraining);
  }

  /** Returns whether all jobs have ended or were taken over, so that the process may stop. */
  public boolean isDrained() {
    return runner.runningJobCount() == 0;
  }

  /**
   * Ends a planned stop: stops all work, answers the callers whose requests are still in progress,
   * and completes when the process may exit.
   */
  public Uni<Void> close() {
    forwarder.admission().close();
    Uni<Void> usagePublished = meter.map(UsageMeter::publish).orElse(Uni.createFrom().voidItem());
    return Uni.join()
        .all(runner.stop(), usagePublished)
        .andCollectFailures()
        .replaceWithVoid()
        .onTermination()
        .invoke(() -> forwarder.failAll("the node ends"));
  }
}
