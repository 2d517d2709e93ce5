package org.passhaven.node.gateway;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.passhaven.core.route.RouteTable;
import org.passhaven.protocol.member.MemberBeat;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One gateway node without its sockets. All calls on one thread. */
public final class Gateway {
  private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);
  private static final int NEAR_NODES_ENOUGH = 2;
  private static final int MOST_ADDRESSES = 64;

  /**
   * Servers' entries change several times a second at a large site; who sends no items to them
   * reads a few changes at once. Far below the time in which a leaving server's news must be known.
   */
  private static final long IDLE_SERVERS_PAUSE_MILLIS = 400;

  /** Pause between reads of beats where runs depend on seeing a loss soon. */
  private static final long RUNNER_BEATS_PAUSE_MILLIS = 250;

  /** The same where callers ask for addresses: they keep the answers for seconds. */
  private static final long ASKED_BEATS_PAUSE_MILLIS = 500;

  /** The same where nothing depends on it. */
  private static final long IDLE_BEATS_PAUSE_MILLIS = 1_000;

  /** Who asked for addresses this lately is likely to ask again. */
  private static final long ASKED_MILLIS = 5_000;

  /** Jobs can be read although beats can't: then they are followed without knowing the others. */
  private static final long FOLLOW_ANYWAY_MILLIS = 1_500;

  private final GatewayContext context;
  private final MemberAgent members;
  private final Directory directory;
  private final CrashLog crashes;
  private final RequestForwarder forwarder;
  private final JobLog log;
  private final JobService jobs;
  private final JobRunner runner;
  private final DutyAgent duties;
  private final Optional<UsageMeter> meter;
  private long askedAtMillis = Long.MIN_VALUE / 2;
  private boolean stopping;

  /** Creates a node; {@link #start} begins its work. */
  public Gateway(GatewayContext given) {
    this.context = Objects.requireNonNull(given, "context").watched();
    this.log = new JobLog(context);
    this.directory = new Directory(context, () -> log.isRunner() ? 0 : IDLE_SERVERS_PAUSE_MILLIS);
    this.crashes = new CrashLog(context, directory);
    this.meter =
        context.settings().usage().map(usage -> new UsageMeter(context, usage, this::liveNodes));
    this.forwarder =
        new RequestForwarder(
            context,
            directory,
            this::takingNodes,
            crashes,
            (tenant, sentAt) -> meter.ifPresent(counting -> counting.onBegan(tenant, sentAt)));
    this.members =
        new MemberAgent(
            context, forwarder::requestsPerSecond, this::isDependedOn, this::beatsPauseMillis);
    this.jobs = new JobService(context, log);
    this.runner = new JobRunner(context, directory, members, log, forwarder, crashes);
    this.duties = new DutyAgent(context, members, log);
    new OrderAgent(context, directory, log, duties);
    meter.ifPresent(counting -> new UsageReporter(context, duties, counting));
  }

  /** Begins to work. */
  public void start() {
    LOG.atInfo()
        .addKeyValue("node", context.settings().node())
        .addKeyValue("zone", context.settings().zone())
        .addKeyValue("incarnation", context.incarnation())
        .log("node: starts");
    directory.start();
    crashes.start();
    members.start(() -> log.start(members.beats()), log::startSooner);
    context.timers().after(FOLLOW_ANYWAY_MILLIS, () -> log.start(members.beats()));
    members.whenClocksParted(this::renewReads);
    log.addOwnerListener(members::hurry);
    log.addOwnerListener(directory::hurry);
    context.metrics().showPartitionsBehind(log);
    context.metrics().showConfigurationAge(directory);
    runner.start();
    duties.start();
    meter.ifPresent(UsageMeter::start);
  }

  /** After a suspension news comes as soon as the store is reached, not when old reads end. */
  private void renewReads() {
    directory.renew();
    crashes.renew();
    duties.renew();
  }

  /** Whether runs, orders or callers would wait for this node if it were lost unseen. */
  private boolean isDependedOn() {
    return log.isRunner()
        || duties.isHolder()
        || log.isCalled()
        || forwarder.requestsPerSecond() > 0
        || namedFor(context.settings().zone()).contains(context.settings().address());
  }

  private long beatsPauseMillis() {
    if (log.isRunner() || log.isNextRunner() || members.isFresh()) {
      return RUNNER_BEATS_PAUSE_MILLIS;
    }
    boolean isAsked = context.now() - askedAtMillis < ASKED_MILLIS;
    return isAsked ? ASKED_BEATS_PAUSE_MILLIS : IDLE_BEATS_PAUSE_MILLIS;
  }

  /** Whether this node takes new work. */
  public boolean isReady() {
    return !stopping && directory.isConfigured();
  }

  /** Whether this node is being stopped. */
  public boolean isStopping() {
    return stopping;
  }

  /** Routes in force. */
  public RouteTable routes() {
    return directory.routes();
  }

  /**
   * To be asked before a final answer that a newer configuration could forbid. Gives true if every
   * configuration that has to be in force is, false if the store can't tell soon.
   */
  public Uni<Boolean> confirmConfiguration() {
    return directory.confirmConfiguration();
  }

  /** How long ago the store last told of the configuration; empty if it never did. */
  public OptionalLong configurationAgeMillis() {
    return directory.configurationAgeMillis();
  }

  /** What this node measures. */
  public GatewayMetrics metrics() {
    return context.metrics();
  }

  /** Ordinary requests. */
  public RequestForwarder forwarder() {
    return forwarder;
  }

  /** Batch jobs. */
  public JobService jobs() {
    return jobs;
  }

  /**
   * Addresses that a caller in {@code zone} is to use; none if another node is to be asked. Callers
   * cache the answer for seconds, so a node returns no address before it knows which nodes live.
   */
  public List<String> addressesFor(String zone) {
    askedAtMillis = context.now();
    if (members.isLivenessUnknown()) {
      return List.of();
    }
    List<String> known = namedFor(zone);
    if (known.isEmpty() && isReady()) {
      return List.of(context.settings().address());
    }
    return known;
  }

  private int liveNodes() {
    return takingNodes().size();
  }

  private List<MemberBeat> takingNodes() {
    return members.beats().taking();
  }

  private List<String> namedFor(String zone) {
    return members.beats().addressesFor(zone, NEAR_NODES_ENOUGH, MOST_ADDRESSES);
  }

  /**
   * Planned stop: tells everybody and takes no further runs; requests, and jobs that nobody has
   * taken over yet, go on.
   */
  public Uni<Void> leave() {
    if (stopping) {
      return Uni.createFrom().voidItem();
    }
    LOG.atInfo()
        .addKeyValue("node", context.settings().node())
        .addKeyValue("requests", forwarder.inProgress())
        .addKeyValue("jobs", runner.running())
        .log("node: leaves");
    stopping = true;
    duties.stop();
    forwarder.admission().stop();
    // The texts go first: the beat makes other nodes take over.
    return runner.leave().invoke(members::announceLeaving);
  }

  /** Whether nothing is left that a planned stop should wait for. */
  public boolean hasHandedOver() {
    return runner.running() == 0;
  }

  /** End of a planned stop: runs nothing more; gives a result when the process may end. */
  public Uni<Void> end() {
    forwarder.admission().end();
    Uni<Void> counted = meter.map(UsageMeter::tell).orElse(Uni.createFrom().voidItem());
    return Uni.join().all(runner.stop(), counted).andCollectFailures().replaceWithVoid();
  }
}
