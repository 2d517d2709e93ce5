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
 * Keeps the newest configuration in force at this node and writes new ones.
 *
 * <p>Invariant: the image in force never goes to a smaller revision. While the log is down a node
 * that lost its memory takes the newest image of its peers; the log replaces it once it is as new.
 */
public final class ConfigurationAgent implements StreamListener {
  private static final Logger LOG = LoggerFactory.getLogger(ConfigurationAgent.class);
  private static final long PEER_PERIOD_MILLIS = 1_000;
  private static final long PEER_LIMIT_MILLIS = 1_000;

  /** Result of an application. */
  public sealed interface ApplyResult {
    /** In force here, and soon everywhere. */
    record Accepted(long revision) implements ApplyResult {}

    /** Another application came first, or the expected revision is not the newest. */
    record Conflict(long newestRevision, String newestOperator) implements ApplyResult {}

    /** The log can't be written; nothing was applied. */
    record LogDown() implements ApplyResult {}

    /** The change itself is not allowed; nothing was applied. */
    record NotAllowed(List<String> errors) implements ApplyResult {
      public NotAllowed {
        errors = List.copyOf(errors);
      }
    }

    /** Same as what is in force. */
    record Unchanged(long revision) implements ApplyResult {}
  }

  private final NodeContext context;
  private final ConfigurationParser parser;
  private final Supplier<List<MemberState>> members;
  private final StreamClient stream;
  private final ConfigurationLog log = new ConfigurationLog();
  private final List<Consumer<ConfigurationSnapshot>> listeners = new ArrayList<>();
  private List<ConfigurationDocument> documentsInForce = List.of();
  private ConfigurationSnapshot activeImage = ConfigurationSnapshot.EMPTY;

  /** Creates the agent; {@code members} gives the nodes that may be asked for a newer image. */
  public ConfigurationAgent(
      NodeContext context, ConfigurationParser parser, Supplier<List<MemberState>> members) {
    this.context = Objects.requireNonNull(context, "context");
    this.parser = Objects.requireNonNull(parser, "parser");
    this.members = Objects.requireNonNull(members, "members");
    this.stream = new StreamClient(context, ConfigurationLog.STREAM, this);
  }

  /** Calls {@code listener} with each image that comes into force. */
  public void addListener(Consumer<ConfigurationSnapshot> listener) {
    listeners.add(listener);
  }

  /** Begins to follow the log. */
  public void start() {
    stream.start();
    context.timers().every(PEER_PERIOD_MILLIS, this::askPeer);
  }

  /** Image in force. */
  public ConfigurationSnapshot activeImage() {
    return activeImage;
  }

  /** Documents in force. */
  public List<ConfigurationDocument> documents() {
    return documentsInForce;
  }

  /** Whether this node has learnt the configuration from the log or from a peer. */
  public boolean isReady() {
    return stream.isCaughtUp() || activeImage.revision() > 0;
  }

  /**
   * Applies a whole configuration.
   *
   * @param expected revision that the operator changed; negative for the newest
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
   * A step is split by its trainer's number of shards, so that number can't change under open
   * steps.
   */
  private List<String> forbiddenChanges(List<ConfigurationDocument> documents) {
    List<String> errors = new ArrayList<>();
    try {
      ConfigurationSnapshot wanted = parser.snapshot(log.revision(), documents);
      wanted
          .trainers()
          .forEach(
              (name, settings) -> {
                TrainerSettings now = activeImage.trainers().get(name);
                if (now != null && !now.shards().equals(settings.shards())) {
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
      putInForce(log.revision(), log.documents());
    }
    return applied;
  }

  private void putInForce(long revision, List<ConfigurationDocument> documents) {
    if (revision <= activeImage.revision()) {
      return;
    }
    try {
      activeImage = parser.snapshot(revision, documents);
    } catch (ConfigurationException e) {
      LOG.error("configuration: revision {} can't be read here: {}", revision, e.getMessage());
      return;
    }
    documentsInForce = documents;
    LOG.debug("configuration: revision {} is in force", revision);
    listeners.forEach(listener -> listener.accept(activeImage));
  }

  /** Asks a peer for its image if the log is down or if that peer is known to be ahead. */
  private void askPeer() {
    List<MemberState> others =
        members.get().stream()
            .filter(state -> !state.node().equals(context.settings().node()))
            .toList();
    Optional<MemberState> ahead =
        others.stream()
            .filter(state -> state.revision() > activeImage.revision())
            .max(Comparator.comparingLong(MemberState::revision));
    if (others.isEmpty() || (ahead.isEmpty() && !stream.isDown())) {
      return;
    }
    MemberState peer =
        ahead.orElseGet(() -> others.get(context.randomBelow().applyAsInt(others.size())));
    PeerRequest request = new PeerRequest.FetchConfiguration(activeImage.revision());
    Uni<PeerResponse> call =
        context.platform().peers().call(peer.address(), request, PEER_LIMIT_MILLIS);
    context
        .timers()
        .withTimeout(call, PEER_LIMIT_MILLIS, "peer")
        .subscribe()
        .with(
            this::onPeerAnswer,
            failure -> LOG.debug("configuration: peer {} gave no image", peer.node()));
  }

  private void onPeerAnswer(PeerResponse response) {
    if (response instanceof PeerResponse.Configuration configuration) {
      putInForce(configuration.revision(), configuration.documents());
    }
  }

  /** Answers a peer that asks for a newer image. */
  public PeerResponse onFetch(PeerRequest.FetchConfiguration request) {
    boolean newer = activeImage.revision() > request.newerThan();
    return new PeerResponse.Configuration(
        activeImage.revision(), newer ? documentsInForce : List.of());
  }
}
