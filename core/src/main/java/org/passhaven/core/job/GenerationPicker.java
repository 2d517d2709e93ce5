package org.passhaven.core.job;

import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.coldstart.ColdStartLimiter;
import org.passhaven.core.placement.Rendezvous;
import org.passhaven.core.topology.DistanceCosts;
import org.passhaven.core.topology.Topology;

/**
 * Chooses the model server of a generation among the servers with allowed weights and a free slot.
 * The cost of a server is the expected time of the remaining text there, plus its load by all
 * nodes, less a bonus if its prompt cache is likely to hold the group's prompt. Long texts
 * therefore go to fast servers and short texts to slower ones. Times are in monotonic milliseconds.
 * Not thread-safe.
 */
final class GenerationPicker {
  private static final double AFFINITY_GAIN_MILLIS = 60;
  private static final double OVERDUE_WEIGHTS_COST_MILLIS = 800;

  /** Cost of occupying the last free slot, which a longer text might need. */
  private static final double FULL_SERVER_COST_MILLIS = 600;

  /** Expected wait at a full server for each queued generation. */
  private static final double QUEUED_GENERATION_COST_MILLIS = 200;

  /**
   * Minimum ratio of the sustained event intervals of two servers for a move. Servers of one
   * service may differ by a quarter for good, and the longest texts of a step would be late if they
   * stayed at the slow ones.
   */
  private static final double MIN_MOVE_RATIO = 1.15;

  /** Minimum expected gain of a move, which costs a connection, a slot and a second prefill. */
  private static final double MIN_MOVE_GAIN_MILLIS = 400;

  /**
   * Time after which an item of a split route may go to another of the route's services. An item
   * that has been at no server for 5 s beside idle ones counts as lost.
   */
  private static final long MAX_WAIT_FOR_SERVICE_MILLIS = 2_000;

  private static final int MAX_GROUPS = 4_096;
  private final String node;
  private final Topology topology;
  private final ServerView view;
  private final LengthEstimator lengths;
  private final CandidateFilter candidates;
  private final ColdStartLimiter coldStarts;
  private final RefusalTracker refusals = new RefusalTracker();
  private final Map<String, ServerIncarnation> serverByGroup = new LinkedHashMap<>();

  /** Servers chosen in this round, whose requests the cold start limit has not counted yet. */
  private final Set<ServerIncarnation> chosenThisRound = new HashSet<>();

  private ReadyServers servers = new ReadyServers(Set.of(), Map.of());

  /** Creates a picker that may choose all ready servers, in a deployment with a single region. */
  GenerationPicker(
      String node,
      String zone,
      ServerView view,
      LengthEstimator lengths,
      ColdStartLimiter coldStarts) {
    this(node, Topology.ofZone(zone), view, lengths, (server, restriction) -> true, coldStarts);
  }

  GenerationPicker(
      String node,
      Topology topology,
      ServerView view,
      LengthEstimator lengths,
      CandidateFilter candidates,
      ColdStartLimiter coldStarts) {
    this.candidates = Objects.requireNonNull(candidates, "candidates");
    this.node = Objects.requireNonNull(node, "node");
    this.topology = Objects.requireNonNull(topology, "topology");
    this.view = Objects.requireNonNull(view, "view");
    this.lengths = Objects.requireNonNull(lengths, "lengths");
    this.coldStarts = Objects.requireNonNull(coldStarts, "coldStarts");
  }

  /** Begins a scheduling round, during which the servers and their speeds stay the same. */
  void beginRound(ReadyServers readyServers, long nowMillis) {
    servers = readyServers;
    chosenThisRound.clear();
    refusals.retain(readyServers.incarnations());
    view.beginRound(readyServers, nowMillis);
  }

  /**
   * Returns the server for an item; empty if no allowed server has a free slot. It is one of the
   * item's service, unless that has no server for the item or had none with room for some time: the
   * weights of a split route then yield to the item, which would wait beside idle servers.
   */
  Optional<ServerEntry> choose(ItemExecution execution, long nowMillis) {
    Optional<ServerEntry> server =
        cheapest(execution, List.of(execution.service), any -> true, nowMillis);
    return server.isPresent() || !mayLeaveService(execution, nowMillis)
        ? server
        : cheapest(execution, execution.jobExecution.policy().services(), any -> true, nowMillis);
  }

  private boolean mayLeaveService(ItemExecution execution, long nowMillis) {
    JobPolicy policy = execution.jobExecution.policy();
    return policy.shares().size() > 1
        && (execution.waitingMillis(nowMillis) >= MAX_WAIT_FOR_SERVICE_MILLIS
            || servers.of(execution.service).stream()
                .noneMatch(server -> candidates.mayReceive(server, policy.restriction())));
  }

  private Optional<ServerEntry> cheapest(
      ItemExecution execution,
      List<String> services,
      Predicate<ServerEntry> isAllowed,
      long nowMillis) {
    return services.stream()
        .flatMap(service -> servers.of(service).stream())
        .filter(isAllowed)
        .filter(server -> canServe(execution, server, nowMillis))
        .min(
            Comparator.comparingDouble((ServerEntry server) -> cost(execution, server, nowMillis))
                .thenComparingLong(this::tieBreak)
                .thenComparing(ServerEntry::incarnation));
  }

  /** Returns a rank that differs by node, so that nodes choose different servers of equal cost. */
  private long tieBreak(ServerEntry server) {
    return view.hasPeerReports() ? Rendezvous.weight(node, server.incarnation().id()) : 0;
  }

  /** Remembers the server that has the group's prompt in its cache. */
  void rememberServerOfGroup(String group, ServerIncarnation incarnation) {
    serverByGroup.remove(group);
    serverByGroup.put(group, incarnation);
    if (serverByGroup.size() > MAX_GROUPS) {
      serverByGroup.remove(serverByGroup.keySet().iterator().next());
    }
  }

  /** Counts a generation that was sent to its server as pending. */
  void onSent(ItemExecution execution) {
    refusals.onSent(execution.server, modelOf(execution));
    chosenThisRound.add(execution.server);
  }

  /** Handles the acceptance of a generation by its server. */
  void onAccepted(ItemExecution execution) {
    refusals.onAccepted(
        execution.server, modelOf(execution), servers.newestVersionOf(modelOf(execution)));
  }

  /** Handles the refusal of a generation by its server, which is full or loads weights. */
  void onRefused(ItemExecution execution, long nowMillis) {
    String model = modelOf(execution);
    ServerEntry server = servers.get(execution.server);
    if (server != null) {
      refusals.onRefused(
          execution.server,
          model,
          server.versionOf(model),
          servers.missingVersion(server, model),
          nowMillis);
    }
  }

  /** Stops counting a generation as pending, whatever its outcome. */
  void removePending(ItemExecution execution) {
    refusals.removePending(execution.server, modelOf(execution));
  }

  /** Returns a server where a running generation would end enough earlier to justify a move. */
  Optional<ServerEntry> chooseFaster(ItemExecution execution, long nowMillis) {
    double currentIntervalMillis = view.sustainedIntervalMillis(execution.server);
    double remainingEvents = remainingEvents(execution);
    if (currentIntervalMillis == 0) {
      return Optional.empty();
    }
    return cheapest(
            execution,
            List.of(execution.service),
            server -> !coldStarts.isLimited(server, nowMillis),
            nowMillis)
        .filter(server -> !server.incarnation().equals(execution.server))
        .filter(server -> isNotLoading(execution, server))
        .filter(
            server ->
                currentIntervalMillis
                    >= MIN_MOVE_RATIO * view.sustainedIntervalMillis(server.incarnation()))
        .filter(
            server ->
                remainingEvents
                        * (currentIntervalMillis
                            - view.sustainedIntervalMillis(server.incarnation()))
                    >= MIN_MOVE_GAIN_MILLIS);
  }

  /** Returns whether a server neither loads weights nor is about to, as far as known. */
  private boolean isNotLoading(ItemExecution execution, ServerEntry server) {
    return !refusals.isRefusing(server, modelOf(execution))
        && !servers.lacksNewestWeights(server, modelOf(execution));
  }

  private static String modelOf(ItemExecution execution) {
    return execution.jobExecution.job.submission().model();
  }

  private double remainingEvents(ItemExecution execution) {
    return lengths.remainingEvents(execution.item.expectedTokens(), execution.text.lastEvent());
  }

  private boolean canServe(ItemExecution execution, ServerEntry server, long nowMillis) {
    String model = modelOf(execution);
    boolean isVersionAllowed =
        model.isEmpty()
            || server.versionOf(model) >= execution.jobExecution.job.submission().oldestVersion();
    return isVersionAllowed
        && refusals.maySend(
            server, model, servers.versionToLoad(server, model, nowMillis), nowMillis)
        && !view.health().isAvoided(server.incarnation(), nowMillis)
        && view.health().inProgress(server.incarnation()) < Math.max(1, server.slots())
        && candidates.mayReceive(server, execution.jobExecution.policy().restriction())
        && isWarmOrDue(server, nowMillis);
  }

  /** Returns whether a server is warm or it is this node's turn to send one generation there. */
  private boolean isWarmOrDue(ServerEntry server, long nowMillis) {
    return !coldStarts.isLimited(server, nowMillis)
        || (coldStarts.maySend(server, nowMillis)
            && !chosenThisRound.contains(server.incarnation()));
  }

  /** Returns the expected time of the remaining text at a server, plus penalties. */
  private double cost(ItemExecution execution, ServerEntry server, long nowMillis) {
    ServerIncarnation incarnation = server.incarnation();
    double cost = view.expectedMillis(remainingEvents(execution), incarnation) + loadCost(server);
    if (incarnation.equals(serverByGroup.get(execution.item.group()))) {
      cost -= AFFINITY_GAIN_MILLIS;
    }
    cost += DistanceCosts.ESTIMATED.millis(topology.to(server.zone()));
    if (servers.hasOverdueWeights(server, modelOf(execution), nowMillis)) {
      cost += OVERDUE_WEIGHTS_COST_MILLIS;
    }
    return cost;
  }

  /** Returns the cost of a server's load by all nodes, which is higher once its slots are full. */
  private double loadCost(ServerEntry server) {
    int slots = Math.max(1, server.slots());
    int slotsInUse = view.slotsInUse(server.incarnation());
    int queued = Math.max(0, slotsInUse + 1 - slots);
    return FULL_SERVER_COST_MILLIS * Math.min(slots, slotsInUse) / slots
        + QUEUED_GENERATION_COST_MILLIS * queued;
  }
}
