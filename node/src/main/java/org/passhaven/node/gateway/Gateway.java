package org.passhaven.node.gateway;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Objects;
import org.passhaven.core.route.RouteTable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One gateway node without its sockets. All calls on one thread. */
public final class Gateway {
  private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);
  private static final int NEAR_NODES_ENOUGH = 2;
  private static final int MOST_ADDRESSES = 64;

  /** Jobs can be read although beats can't: then they are followed without knowing the others. */
  private static final long FOLLOW_ANYWAY_MILLIS = 1_500;

  private final GatewayContext context;
  private final MemberAgent members;
  private final Directory directory;
  private final RequestForwarder forwarder;
  private final JobLog log;
  private final JobService jobs;
  private final JobRunner runner;
  private final OrderAgent orders;
  private boolean stopping;

  /** Creates a node; {@link #start} begins its work. */
  public Gateway(GatewayContext context) {
    this.context = Objects.requireNonNull(context, "context");
    this.directory = new Directory(context);
    this.forwarder = new RequestForwarder(context, directory);
    this.members = new MemberAgent(context, forwarder::requestsPerSecond);
    this.log = new JobLog(context);
    this.jobs = new JobService(context, log);
    this.runner = new JobRunner(context, directory, members, log, forwarder);
    this.orders = new OrderAgent(context, directory, members, log);
  }

  /** Begins to work. */
  public void start() {
    LOG.atInfo()
        .addKeyValue("node", context.settings().node())
        .addKeyValue("zone", context.settings().zone())
        .addKeyValue("incarnation", context.incarnation())
        .log("node: starts");
    directory.start();
    members.start(() -> log.start(members.beats()));
    context.timers().after(FOLLOW_ANYWAY_MILLIS, () -> log.start(members.beats()));
    context.metrics().showPartitionsBehind(log);
    runner.start();
    orders.start();
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

  /** Ordinary requests. */
  public RequestForwarder forwarder() {
    return forwarder;
  }

  /** Batch jobs. */
  public JobService jobs() {
    return jobs;
  }

  /** Addresses that a caller in {@code zone} is to use. */
  public List<String> addressesFor(String zone) {
    List<String> known = members.beats().addressesFor(zone, NEAR_NODES_ENOUGH, MOST_ADDRESSES);
    if (known.isEmpty() && isReady()) {
      return List.of(context.settings().address());
    }
    return known;
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
    orders.stop();
    // The texts go first: the beat makes other nodes take over.
    return runner.leave().invoke(members::announceLeaving);
  }

  /** Whether nothing is left that a planned stop should wait for. */
  public boolean hasHandedOver() {
    return runner.running() == 0;
  }

  /** End of a planned stop: runs nothing more; gives a result when the process may end. */
  public Uni<Void> end() {
    return runner.stop();
  }
}
