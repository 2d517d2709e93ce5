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
 * One passhaven node without its sockets: the same code in the real process and in the simulator.
 * All calls on one thread.
 */
public final class Node {
  private static final Logger LOG = LoggerFactory.getLogger(Node.class);
  private static final long STOP_POLL_MILLIS = 50;
  private static final long REVISION_LIMIT_MILLIS = 1_000;

  /** What an operator sees of a node. */
  public record Status(
      MemberState self,
      List<MemberState> others,
      List<ShardId> ownedShards,
      int followed,
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

  /** Creates a node; {@link #start} begins its work. */
  public Node(NodeContext given) {
    this.context = Objects.requireNonNull(given, "context").watched();
    this.machines = new MachineWatcher(context);
    this.membership = new MembershipAgent(context, machines);
    this.engines = new EngineDirectory(context, machines);
    this.configuration =
        new ConfigurationAgent(context, new ConfigurationParser(), membership::alive);
    this.requests =
        new RequestService(
            context,
            new ServiceDirectory(context, machines),
            configuration::activeImage,
            membership::alive);
    this.runs =
        new RunManager(
            context, engines, new ServiceSampleScorer(context, requests), membership::alive);
    this.rollouts =
        new RolloutService(
            new OwnerClient(context, runs, membership::alive), configuration::activeImage);
    configuration.addListener(
        image -> {
          membership.setRevision(image.revision());
          runs.onConfiguration(image);
        });
    membership.addListener(runs::onMembership);
  }

  /** Begins to work. */
  public void start() {
    LOG.info("node: {} starts in zone {}", context.settings().node(), context.settings().zone());
    machines.start();
    membership.start();
    engines.start();
    configuration.start();
    requests.start();
  }

  /** Trainers' interface. */
  public RolloutService rollouts() {
    return rollouts;
  }

  /** Callers' interface. */
  public RequestService requests() {
    return requests;
  }

  /** Operators' interface. */
  public ConfigurationAgent configuration() {
    return configuration;
  }

  /** Engines as this node knows them. */
  public EngineDirectory engines() {
    return engines;
  }

  /** Number of parts over which nodes spread the engines that they send completions to. */
  public int completionParts() {
    return Math.max(1, membership.alive().size());
  }

  /** This node's part of the engines that completions go to. */
  public int completionPart() {
    List<MemberState> alive = membership.alive();
    for (int part = 0; part < alive.size(); part++) {
      if (alive.get(part).node().equals(context.settings().node())) {
        return part;
      }
    }
    return 0;
  }

  /** Live nodes with this one. */
  public List<MemberState> liveNodes() {
    return membership.alive();
  }

  /** Name, limits and clocks of this node. */
  public NodeContext context() {
    return context;
  }

  /** Whether this node takes new work. */
  public boolean isReady() {
    return !stopping && configuration.isReady();
  }

  /** What an operator sees. */
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
                    configuration.activeImage().revision()));
    return new Status(
        self, membership.others(), runs.ownedShards(), runs.followedShardCount(), isReady());
  }

  /** Revision in force at one node; 0 if it did not answer. */
  public record NodeRevision(String node, long revision) {}

  /** Asks every live node which revision is in force there. */
  public Uni<List<NodeRevision>> revisions() {
    List<Uni<NodeRevision>> answers = new ArrayList<>();
    for (MemberState member : membership.alive()) {
      boolean self = member.node().equals(context.settings().node());
      answers.add(
          self
              ? Uni.createFrom()
                  .item(
                      new NodeRevision(
                          member.node().value(), configuration.activeImage().revision()))
              : askRevision(member));
    }
    return Uni.join().all(answers).andFailFast();
  }

  private Uni<NodeRevision> askRevision(MemberState member) {
    Uni<PeerResponse> call =
        context
            .platform()
            .peers()
            .call(member.address(), new PeerRequest.FetchRevision(), REVISION_LIMIT_MILLIS);
    return context
        .timers()
        .withTimeout(call, REVISION_LIMIT_MILLIS, "revision")
        .map(answer -> answer instanceof PeerResponse.Revision revision ? revision.revision() : 0L)
        .onFailure()
        .recoverWithItem(0L)
        .map(revision -> new NodeRevision(member.node().value(), revision));
  }

  /** Serves a message of another node. */
  public Uni<PeerResponse> onPeerRequest(PeerRequest request) {
    if (request instanceof PeerRequest.ToOwner toOwner) {
      return runs.onRequest(toOwner);
    } else if (request instanceof PeerRequest.Gossip gossip) {
      return Uni.createFrom().item(membership.onGossip(gossip));
    } else if (request instanceof PeerRequest.Probe probe) {
      return membership.onProbe(probe);
    } else if (request instanceof PeerRequest.CarryRequest carry) {
      return requests.onCarry(carry);
    } else if (request instanceof PeerRequest.FetchConfiguration fetch) {
      return Uni.createFrom().item(configuration.onFetch(fetch));
    }
    return Uni.createFrom().item(new PeerResponse.Revision(configuration.activeImage().revision()));
  }

  /**
   * Planned stop: takes nothing new, gives its leases back, lets what runs finish. Gives a result
   * when nothing is in progress or the limit has passed.
   */
  public Uni<Void> stop(long limitMillis) {
    if (!stopping) {
      LOG.info("node: {} stops", context.settings().node());
      stopping = true;
      requests.stopAccepting();
      membership.announceLeaving();
    }
    long deadline = context.timers().nowMillis() + limitMillis;
    Uni<Void> released =
        context
            .timers()
            .withTimeout(runs.stop(), limitMillis, "release")
            .onFailure()
            .recoverWithNull();
    return released.chain(
        ignored ->
            Uni.createFrom().emitter(emitter -> awaitIdle(deadline, () -> emitter.complete(null))));
  }

  private void awaitIdle(long deadlineMillis, Runnable then) {
    if (requests.inProgress() == 0 || context.timers().nowMillis() >= deadlineMillis) {
      LOG.info("node: {} has stopped", context.settings().node());
      then.run();
      return;
    }
    context.timers().after(STOP_POLL_MILLIS, () -> awaitIdle(deadlineMillis, then));
  }
}
