package org.passhaven.node.configuration;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.passhaven.core.configuration.ConfigurationException;
import org.passhaven.core.configuration.ConfigurationLog;
import org.passhaven.core.configuration.ConfigurationParser;
import org.passhaven.core.configuration.ConfigurationSnapshot;
import org.passhaven.core.configuration.TrainerSettings;
import org.passhaven.node.NodeContext;
import org.passhaven.node.stream.StreamClient;
import org.passhaven.node.stream.StreamListener;
import org.passhaven.protocol.ConfigurationDocument;
import org.passhaven.protocol.LogEntry;
import org.passhaven.protocol.LogRecord;
import org.passhaven.protocol.MemberState;
import org.passhaven.protocol.PeerRequest;
import org.passhaven.protocol.PeerResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the configuration in the log, activates its latest revision at this node and appends new
 * revisions. Used on the node's thread.
 *
 * <p>Invariant: the revision of the active snapshot never decreases. The agent also fetches the
 * configuration from a peer that announces a newer revision and, while the log is unavailable, from
 * any peer.
 */
public final class ConfigurationAgent implements StreamListener {
  private static final Logger LOG = LoggerFactory.getLogger(ConfigurationAgent.class);
  private static final long PEER_PERIOD_MILLIS = 1_000;
  private static final long PEER_TIMEOUT_MILLIS = 1_000;

  /** Result of applying a configuration. */
  public sealed interface ApplyResult {
    /** The configuration was written to the log and is active at this node. */
    record Accepted(long revision) implements ApplyResult {}

    /** Another change was applied first, or the expected revision is not the latest. */
    record Conflict(long newestRevision, String newestOperator) implements ApplyResult {}

    /** The log is unavailable; nothing was applied. */
    record LogDown() implements ApplyResult {}

    /** The configuration is invalid or changes a fixed setting; nothing was applied. */
    record NotAllowed(List<String> errors) implements ApplyResult {
      public NotAllowed {
        errors = List.copyOf(errors);
      }
    }

    /** The configuration equals the latest one; nothing was applied. */
    record Unchanged(long revision) implements ApplyResult {}
  }

  private final NodeContext context;
  private final ConfigurationParser parser;
  private final Supplier<List<MemberState>> members;
  private final StreamClient stream;
  private final ConfigurationLog log = new ConfigurationLog();
  private final List<Consumer<ConfigurationSnapshot>> listeners = new ArrayList<>();
  private List<ConfigurationDocument> activeDocuments = List.of();
  private ConfigurationSnapshot activeSnapshot = ConfigurationSnapshot.EMPTY;

  /** Creates the agent; {@code members} returns the nodes that may have a newer revision. */
  public ConfigurationAgent(
      NodeContext context, ConfigurationParser parser, Supplier<List<MemberState>> members) {
    this.context = Objects.requireNonNull(context, "context");
    this.parser = Objects.requireNonNull(parser, "parser");
    this.members = Objects.requireNonNull(members, "members");
    this.stream = new StreamClient(context, ConfigurationLog.STREAM, this);
  }

  /** Adds a listener that is called with each newly active snapshot. */
  public void addListener(Consumer<ConfigurationSnapshot> listener) {
    listeners.add(listener);
  }

  /** Starts reading the log and fetching from peers. */
  public void start() {
    stream.start();
    context.timers().every(PEER_PERIOD_MILLIS, this::fetchFromPeer);
  }

  /** Returns the active snapshot. */
  public ConfigurationSnapshot activeSnapshot() {
    return activeSnapshot;
  }

  /** Returns the documents of the active snapshot. */
  public List<ConfigurationDocument> documents() {
    return activeDocuments;
  }

  /** Returns whether this node has read the configuration from the log or from a peer. */
  public boolean isReady() {
    return stream.isCaughtUp() || activeSnapshot.revision() > 0;
  }

  /**
   * Replaces the configuration by the given documents.
   *
   * @param expected revision on which the change is based; negative for the latest
   */
  public Uni<ApplyResult> apply(
      List<ConfigurationDocument> documents, long expected, String operator) {
    if (!stream.isCaughtUp() || stream.isDown()) {
      return Uni.createFrom().item(new ApplyResult.LogDown());
    }
    if (expected >= 0 && expected != log.revision()) {
      return Uni.createFrom().item(conflict());
    }
    List<String> errors = forbiddenChanges(documents);
    if (!errors.isEmpty()) {
      return Uni.createFrom().item(new ApplyResult.NotAllowed(errors));
    }
    LogRecord.ConfigurationApplied record = log.changeTo(documents, operator);
    if (record.changed().isEmpty() && record.removed().isEmpty()) {
      return Uni.createFrom().item(new ApplyResult.Unchanged(log.revision()));
    }
    return stream
        .append(record)
        .map(effective -> effective ? new ApplyResult.Accepted(record.base() + 1) : conflict());
  }

  /**
   * Returns the errors in the requested documents, including forbidden changes. A trainer's shards
   * can't change, since open steps are partitioned by them.
   */
  private List<String> forbiddenChanges(List<ConfigurationDocument> documents) {
    List<String> errors = new ArrayList<>();
    try {
      ConfigurationSnapshot requested = parser.snapshot(log.revision(), documents);
      requested
          .trainers()
          .forEach(
              (name, settings) -> {
                TrainerSettings current = activeSnapshot.trainers().get(name);
                if (current != null && !current.shards().equals(settings.shards())) {
                  errors.add(
                      "trainer/" + name + ": shards: can't change; give the trainer a new name");
                }
              });
    } catch (ConfigurationException e) {
      errors.addAll(e.errors());
    }
    return errors;
  }

  private ApplyResult conflict() {
    return new ApplyResult.Conflict(log.revision(), log.lastOperator());
  }

  @Override
  public boolean onEntry(LogEntry entry, boolean isOwn, long sentAtMillis) {
    boolean applied = log.apply(entry);
    if (applied) {
      activate(log.revision(), log.documents());
    }
    return applied;
  }

  private void activate(long revision, List<ConfigurationDocument> documents) {
    if (revision <= activeSnapshot.revision()) {
      return;
    }
    try {
      activeSnapshot = parser.snapshot(revision, documents);
    } catch (ConfigurationException e) {
      LOG.error("configuration: revision {} can't be read here: {}", revision, e.getMessage());
      return;
    }
    activeDocuments = documents;
    LOG.debug("configuration: revision {} is in force", revision);
    listeners.forEach(listener -> listener.accept(activeSnapshot));
  }

  /**
   * Fetches the configuration from a peer that has a newer revision, or from any peer if the log is
   * down.
   */
  private void fetchFromPeer() {
    List<MemberState> peers =
        members.get().stream()
            .filter(state -> !state.node().equals(context.settings().node()))
            .toList();
    Optional<MemberState> newerPeer =
        peers.stream()
            .filter(state -> state.revision() > activeSnapshot.revision())
            .max(Comparator.comparingLong(MemberState::revision));
    if (peers.isEmpty() || (newerPeer.isEmpty() && !stream.isDown())) {
      return;
    }
    MemberState peer =
        newerPeer.orElseGet(() -> peers.get(context.randomBelow().applyAsInt(peers.size())));
    PeerRequest request = new PeerRequest.FetchConfiguration(activeSnapshot.revision());
    Uni<PeerResponse> call =
        context.platform().peers().call(peer.address(), request, PEER_TIMEOUT_MILLIS);
    context
        .timers()
        .withTimeout(call, PEER_TIMEOUT_MILLIS, "peer")
        .subscribe()
        .with(
            this::onPeerResponse,
            failure -> LOG.debug("configuration: peer {} gave no image", peer.node()));
  }

  private void onPeerResponse(PeerResponse response) {
    if (response instanceof PeerResponse.Configuration configuration) {
      activate(configuration.revision(), configuration.documents());
    }
  }

  /** Returns the active revision to a peer, with its documents if it is newer than the peer's. */
  public PeerResponse onFetch(PeerRequest.FetchConfiguration request) {
    boolean isNewer = activeSnapshot.revision() > request.newerThan();
    return new PeerResponse.Configuration(
        activeSnapshot.revision(), isNewer ? activeDocuments : List.of());
  }
}
