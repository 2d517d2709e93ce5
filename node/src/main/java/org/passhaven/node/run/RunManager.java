package org.passhaven.node.run;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Supplier;
import org.passhaven.core.configuration.ConfigurationSnapshot;
import org.passhaven.node.NodeContext;
import org.passhaven.node.backend.EngineDirectory;
import org.passhaven.protocol.MemberState;
import org.passhaven.protocol.PeerRequest;
import org.passhaven.protocol.PeerResponse;
import org.passhaven.protocol.ShardId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Manages a {@link RunAgent} for each shard of which this node is a candidate. */
public final class RunManager {
  private static final Logger LOG = LoggerFactory.getLogger(RunManager.class);
  private final NodeContext context;
  private final EngineDirectory engines;
  private final SampleScorer scorer;
  private final Supplier<List<MemberState>> liveNodes;
  private final Map<ShardId, RunAgent> agents = new HashMap<>();
  private ConfigurationSnapshot configuration = ConfigurationSnapshot.EMPTY;
  private boolean stopping;

  /** Creates the manager; {@code alive} supplies the live nodes. */
  public RunManager(
      NodeContext context,
      EngineDirectory engines,
      SampleScorer scorer,
      Supplier<List<MemberState>> alive) {
    this.context = Objects.requireNonNull(context, "context");
    this.engines = Objects.requireNonNull(engines, "engines");
    this.scorer = Objects.requireNonNull(scorer, "scorer");
    this.liveNodes = Objects.requireNonNull(alive, "alive");
  }

  /** Applies a new configuration. */
  public void onConfiguration(ConfigurationSnapshot image) {
    configuration = image;
    agents.values().forEach(agent -> agent.setConfiguration(image));
    updateAgents();
  }

  /** Starts and releases agents after the set of live nodes has changed. */
  public void onMembership() {
    updateAgents();
  }

  /** Returns the shards whose lease this node holds. */
  public List<ShardId> ownedShards() {
    return agents.entrySet().stream()
        .filter(entry -> entry.getValue().isOwner())
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns the number of shards whose stream this node reads. */
  public int followedShardCount() {
    return agents.size();
  }

  private void updateAgents() {
    if (stopping) {
      return;
    }
    List<MemberState> members = liveNodes.get();
    Map<ShardId, Integer> ranks = new HashMap<>();
    configuration
        .trainers()
        .forEach(
            (trainer, settings) -> {
              for (int index = 0; index < settings.shards(); index++) {
                int rank = rankOf(new ShardId(trainer, index), members);
                if (rank >= 0) {
                  ranks.put(new ShardId(trainer, index), rank);
                }
              }
            });
    for (ShardId shard : List.copyOf(agents.keySet())) {
      if (!ranks.containsKey(shard)) {
        LOG.debug("run: {} is no longer followed here", shard);
        agents.remove(shard).release().subscribe().with(ignored -> {});
      }
    }
    ranks.forEach((shard, rank) -> agents.computeIfAbsent(shard, this::startAgent).setRank(rank));
  }

  private int rankOf(ShardId shard, List<MemberState> members) {
    List<MemberState> candidates =
        ShardPlacement.candidates(shard, members, context.settings().candidatesPerShard());
    for (int rank = 0; rank < candidates.size(); rank++) {
      if (candidates.get(rank).node().equals(context.settings().node())) {
        return rank;
      }
    }
    return -1;
  }

  private RunAgent startAgent(ShardId shard) {
    RunAgent agent = new RunAgent(context, shard, configuration, engines, scorer);
    agent.start();
    return agent;
  }

  /** Handles a request to a shard's owner. */
  public Uni<PeerResponse> onRequest(PeerRequest.ToOwner request) {
    RunAgent agent = agents.get(request.shard());
    if (agent == null) {
      return Uni.createFrom().item(new PeerResponse.NotOwner(""));
    }
    return agent.onRequest(request);
  }

  /** Releases all leases; completes when the releases are durable. */
  public Uni<Void> stop() {
    stopping = true;
    List<Uni<Void>> releases = new ArrayList<>();
    agents.values().forEach(agent -> releases.add(agent.release()));
    agents.clear();
    return releases.isEmpty()
        ? Uni.createFrom().voidItem()
        : Uni.join().all(releases).andCollectFailures().replaceWithVoid();
  }
}
