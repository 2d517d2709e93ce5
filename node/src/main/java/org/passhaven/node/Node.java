package org.passhaven.node;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.passhaven.core.configuration.ConfigurationParser;
import org.passhaven.node.backend.EngineDirectory;
import org.passhaven.node.backend.MachineWatcher;
import org.passhaven.node.backend.ServiceDirectory;
import org.passhaven.node.configuration.ConfigurationAgent;
import org.passhaven.node.membership.MembershipAgent;
import org.passhaven.node.request.RequestService;
import org.passhaven.node.run.OwnerClient;
import org.passhaven.node.run.RolloutService;
import org.passhaven.node.run.RunManager;
import org.passhaven.node.run.ServiceSampleScorer;
import org.passhaven.protocol.MemberState;
import org.passhaven.protocol.PeerRequest;
import org.passhaven.protocol.PeerResponse;
import org.passhaven.protocol.ShardId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Assembles the components of one passhaven node, without its network server. The server process
 * and the simulator both run this class. Not thread-safe: all calls must come from one thread.
 */
public final class Node {
  private static final Logger LOG = LoggerFactory.getLogger(Node.class);
  private static final long STOP_POLL_INTERVAL_MILLIS = 50;
  private static final long REVISION_TIMEOUT_MILLIS = 1_000;

  /** The status of a node, as shown to operators. */
  public record Status(
      MemberState self,
      List<MemberState> others,
      List<ShardId> ownedShards,
      int followedShardCount,
      boolean ready) {}

  private final NodeContext context;
  private final MachineWatcher machines;
  private final MembershipAgent membership;
  private final EngineDirectory engines;
  private final ConfigurationAgent configuration;
  private final RequestService requests;
  private final RunManager runs;
  private final RolloutService rollouts;
  private boolean stopping;

  /** Creates a node; call {@link #start} to start it. */
  public Node(NodeContext baseContext) {
    this.context = Objects.requireNonNull(baseContext, "context").withClockJumpDetection();
    this.machines = new MachineWatcher(context);
    this.membership = new MembershipAgent(context, machines);
    this.engines = new EngineDirectory(context, machines);
    this.configuration =
        new ConfigurationAgent(context, new ConfigurationParser(), membership::alive);
    this.requests =
        new RequestService(
            context,
            new ServiceDirectory(context, machines),
            configuration::activeSnapshot,
            membership::alive);
    this.runs =
        new RunManager(
            context, engines, new ServiceSampleScorer(context, requests), membership::alive);
    this.rollouts =
        new RolloutService(
            new OwnerClient(context, runs, membership::alive), configuration::activeSnapshot);
    configuration.addListener(
        image -> {
          membership.setRevision(image.revision());
          runs.onConfiguration(image);
        });
    membership.addListener(runs::onMembership);
  }

  /** Starts all components. */
  public void start() {
    LOG.info("node: {} starts in zone {}", context.settings().node(), context.settings().zone());
    machines.start();
    membership.start();
    engines.start();
    configuration.start();
    requests.start();
  }

  /** Returns the service for trainers' requests. */
  public RolloutService rollouts() {
    return rollouts;
  }

  /** Returns the service for callers' requests. */
  public RequestService requests() {
    return requests;
  }

  /** Returns the agent that holds and applies the configuration. */
  public ConfigurationAgent configuration() {
    return configuration;
  }

  /** Returns the directory of the engines that this node knows. */
  public EngineDirectory engines() {
    return engines;
  }

  /** Returns the number of parts into which the nodes divide the engines for completions. */
  public int completionPartCount() {
    return Math.max(1, membership.alive().size());
  }

  /** Returns the index of this node's part of the engines for completions. */
  public int completionPartIndex() {
    List<MemberState> alive = membership.alive();
    for (int part = 0; part < alive.size(); part++) {
      if (alive.get(part).node().equals(context.settings().node())) {
        return part;
      }
    }
    return 0;
  }

  /** Returns the live nodes, including this one. */
  public List<MemberState> liveNodes() {
    return membership.alive();
  }

  /** Returns the dependencies that this node's components share. */
  public NodeContext context() {
    return context;
  }

  /** Returns whether this node accepts new work. */
  public boolean isReady() {
    return !stopping && configuration.isReady();
  }

  /** Returns the current status. */
  public Status status() {
    MemberState self =
        membership.alive().stream()
            .filter(state -> state.node().equals(context.settings().node()))
            .findFirst()
            .orElse(
                new MemberState(
                    context.settings().node(),
                    context.settings().address(),
                    context.settings().zone(),
                    context.incarnation(),
                    0,
                    MemberState.Status.LEAVING,
                    configuration.activeSnapshot().revision()));
    return new Status(
        self, membership.others(), runs.ownedShards(), runs.followedShardCount(), isReady());
  }

  /** The configuration revision in use on a node; 0 if the node did not respond. */
  public record NodeRevision(String node, long revision) {}

  /** Returns the configuration revisions in use on all live nodes. */
  public Uni<List<NodeRevision>> revisions() {
    List<Uni<NodeRevision>> revisions = new ArrayList<>();
    for (MemberState member : membership.alive()) {
      boolean isSelf = member.node().equals(context.settings().node());
      revisions.add(
          isSelf
              ? Uni.createFrom()
                  .item(
                      new NodeRevision(
                          member.node().value(), configuration.activeSnapshot().revision()))
              : fetchRevision(member));
    }
    return Uni.join().all(revisions).andFailFast();
  }

  private Uni<NodeRevision> fetchRevision(MemberState member) {
    Uni<PeerResponse> call =
        context
            .platform()
            .peers()
            .call(member.address(), new PeerRequest.FetchRevision(), REVISION_TIMEOUT_MILLIS);
    return context
        .timers()
        .withTimeout(call, REVISION_TIMEOUT_MILLIS, "revision")
        .map(
            response ->
                response instanceof PeerResponse.Revision revision ? revision.revision() : 0L)
        .onFailure()
        .recoverWithItem(0L)
        .map(revision -> new NodeRevision(member.node().value(), revision));
  }

  /** Handles a request from another node. */
  public Uni<PeerResponse> onPeerRequest(PeerRequest request) {
    if (request instanceof PeerRequest.ToOwner toOwner) {
      return runs.onRequest(toOwner);
    } else if (request instanceof PeerRequest.Gossip gossip) {
      return Uni.createFrom().item(membership.onGossip(gossip));
    } else if (request instanceof PeerRequest.Probe probe) {
      return membership.onProbe(probe);
    } else if (request instanceof PeerRequest.CarryRequest carry) {
      return requests.onForwardedRequest(carry);
    } else if (request instanceof PeerRequest.FetchConfiguration fetch) {
      return Uni.createFrom().item(configuration.onFetch(fetch));
    }
    return Uni.createFrom()
        .item(new PeerResponse.Revision(configuration.activeSnapshot().revision()));
  }

  /**
   * Drains the node: refuses new work, releases its leases and waits for requests in progress.
   * Completes when none is in progress or the time limit expires.
   */
  public Uni<Void> stop(long limitMillis) {
    if (!stopping) {
      LOG.info("node: {} stops", context.settings().node());
      stopping = true;
      requests.stopAccepting();
      membership.announceLeaving();
    }
    long deadlineMillis = context.timers().nowMillis() + limitMillis;
    Uni<Void> released =
        context
            .timers()
            .withTimeout(runs.stop(), limitMillis, "release")
            .onFailure()
            .recoverWithNull();
    return released.chain(
        ignored ->
            Uni.createFrom()
                .emitter(emitter -> awaitIdle(deadlineMillis, () -> emitter.complete(null))));
  }

  private void awaitIdle(long deadlineMillis, Runnable onStopped) {
    if (requests.inProgress() == 0 || context.timers().nowMillis() >= deadlineMillis) {
      LOG.info("node: {} has stopped", context.settings().node());
      onStopped.run();
      return;
    }
    context.timers().after(STOP_POLL_INTERVAL_MILLIS, () -> awaitIdle(deadlineMillis, onStopped));
  }
}
