package org.passhaven.node.run;

import io.smallrye.mutiny.Uni;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.passhaven.core.configuration.ConfigurationSnapshot;
import org.passhaven.core.configuration.TrainerSettings;
import org.passhaven.core.lease.LeaseState;
import org.passhaven.core.run.AttemptId;
import org.passhaven.core.run.RunAction;
import org.passhaven.core.run.RunCoordinator;
import org.passhaven.core.run.RunSnapshot;
import org.passhaven.core.run.RunState;
import org.passhaven.core.run.StepState;
import org.passhaven.node.NodeContext;
import org.passhaven.node.backend.EngineDirectory;
import org.passhaven.node.backend.EngineUse;
import org.passhaven.node.stream.StreamClient;
import org.passhaven.node.stream.StreamListener;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.LogEntry;
import org.passhaven.protocol.LogRecord;
import org.passhaven.protocol.PeerRequest;
import org.passhaven.protocol.PeerResponse;
import org.passhaven.protocol.Sample;
import org.passhaven.protocol.Segment;
import org.passhaven.protocol.ShardId;
import org.passhaven.spi.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Manages one shard on one of its candidate nodes: reads the shard's stream, claims the lease when
 * it is free, and while this node is the owner, executes the actions of a {@link RunCoordinator}.
 *
 * <p>The delivery of samples does not depend on the lease's clock: the first valid commit in the
 * log fixes a slot's position, and only samples whose commit was read back are delivered. An owner
 * that has been superseded without noticing can therefore not deliver samples that conflict with
 * those of the new owner.
 */
public final class RunAgent implements StreamListener {
  private static final Logger LOG = LoggerFactory.getLogger(RunAgent.class);
  private static final int SNAPSHOT_INTERVAL_RECORDS = 400;
  private static final long MAX_READ_WAIT_MILLIS = 2_000;
  private static final long CLAIM_DELAY_PER_RANK_MILLIS = 500;
  private final NodeContext context;
  private final ShardId shard;
  private final EngineDirectory engines;
  private final SampleScorer scorer;
  private final StreamClient stream;
  private final LeaseState lease;
  private long lastClockJumpCount;
  private final GenerationRunner generations;
  private final PullQueue pulls;
  private final Set<Long> stepsBeingFinished = new HashSet<>();
  private RunState state = new RunState();
  private ConfigurationSnapshot configuration;
  private RunCoordinator coordinator;
  private VersionOrderSender versionOrders;
  private Timers.Timer tickTimer;
  private int rank;
  private boolean claiming;
  private boolean renewing;
  private long lastRenewalMillis = Long.MIN_VALUE / 2;
  private long versionBeingReported;
  private int recordsSinceSnapshot;
  private boolean stopping;
  private boolean closed;

  /** Creates the agent; call {@link #start} to start reading the stream. */
  public RunAgent(
      NodeContext context,
      ShardId shard,
      ConfigurationSnapshot configuration,
      EngineDirectory engines,
      SampleScorer scorer) {
    this.context = Objects.requireNonNull(context, "context");
    this.shard = Objects.requireNonNull(shard, "shard");
    this.configuration = Objects.requireNonNull(configuration, "configuration");
    this.engines = Objects.requireNonNull(engines, "engines");
    this.scorer = Objects.requireNonNull(scorer, "scorer");
    this.stream = new StreamClient(context, shard.stream(), this, MAX_READ_WAIT_MILLIS);
    this.lease = new LeaseState(context.settings().lease(), context.timers().nowMillis());
    this.lastClockJumpCount = context.timers().clockJumps().count();
    this.generations = new GenerationRunner(context, engines, new GenerationListener());
    this.pulls = new PullQueue(context.timers());
  }

  /** Starts reading the stream. */
  public void start() {
    stream.start();
    tickTimer =
        context.timers().every(context.settings().decisionInterval().toMillis(), this::tick);
  }

  /**
   * Sets this node's rank among the shard's candidates, starting at zero. Candidates with a higher
   * rank wait longer before they claim the lease.
   */
  public void setRank(int newRank) {
    rank = newRank;
  }

  /**
   * Applies a new configuration. Ignores one without this trainer: {@link #release} ends the agent
   * in that case.
   */
  public void setConfiguration(ConfigurationSnapshot image) {
    TrainerSettings settings = image.trainers().get(shard.trainer());
    if (settings == null) {
      return;
    }
    configuration = image;
    if (coordinator != null) {
      coordinator.setSettings(settings);
    }
  }

  /** Returns whether this node owns the shard. */
  public boolean isOwner() {
    return coordinator != null;
  }

  /** Returns the peer address of the last known owner, or an empty string if there is none. */
  public String ownerAddress() {
    return state.released() ? "" : state.ownerAddress();
  }

  /** Releases the lease, if held, and closes the agent. Completes when the release is durable. */
  public Uni<Void> release() {
    stopping = true;
    if (coordinator == null) {
      close();
      return Uni.createFrom().voidItem();
    }
    return stream
        .append(new LogRecord.LeaseReleased(lease.epoch()))
        .invoke(this::close)
        .replaceWithVoid();
  }

  /** Closes the agent immediately; a lease held by this node expires. */
  public void close() {
    closed = true;
    if (tickTimer != null) {
      tickTimer.cancel();
    }
    stepDown();
    stream.close();
  }

  @Override
  public void onRestore(byte[] image) {
    state = RunState.fromSnapshot(Codec.decode(image, RunSnapshot.class));
    recordsSinceSnapshot = 0;
    if (state.epoch() > 0) {
      lease.onClaimRead(state.epoch(), false, now(), now());
    }
    if (state.released()) {
      lease.onReleasedRead();
    }
  }

  @Override
  public boolean onEntry(LogEntry entry, boolean isOwn, long sentAtMillis) {
    RunState.Effect effect = state.apply(entry);
    recordsSinceSnapshot++;
    switch (effect) {
      case CLAIMED -> onClaimed(isOwn, sentAtMillis);
      case RELEASED -> {
        lease.onReleasedRead();
        stepDown();
      }
      case APPLIED -> onApplied(sentAtMillis);
      case IGNORED -> {}
    }
    return effect != RunState.Effect.IGNORED;
  }

  @Override
  public void onLogRecovered(long downMillis) {
    // The holder could not renew either: it gets a full term before another node may claim.
    if (downMillis > context.settings().lease().renewInterval().toMillis()) {
      lease.onLogRecovered(now());
    }
  }

  private void onClaimed(boolean isOwn, long sentAtMillis) {
    lease.onClaimRead(state.epoch(), isOwn, now(), sentAtMillis);
    stepDown();
    if (isOwn && !closed) {
      coordinator =
          new RunCoordinator(state, state.epoch(), settings(), context.settings().dispatchPolicy());
      versionOrders = new VersionOrderSender(context, engines);
      lastRenewalMillis = now();
      context.metrics().leasesClaimed.increment();
      LOG.info("run: {} is owned here under epoch {}", shard, state.epoch());
    }
  }

  private void onApplied(long sentAtMillis) {
    lease.onFencedRead(now(), sentAtMillis);
    if (coordinator != null) {
      coordinator.onStateChanged();
      pulls.respondToReady(this::tryPull);
    }
  }

  private void stepDown() {
    if (coordinator != null) {
      LOG.info("run: {} is no longer owned here", shard);
    }
    coordinator = null;
    versionBeingReported = 0;
    generations.cancelAll();
    pulls.respondToAll(new PeerResponse.NotOwner(ownerAddress()));
  }

  private void tick() {
    if (closed) {
      return;
    }
    if (coordinator == null) {
      claimIfFree();
      return;
    }
    renewIfDue();
    execute(coordinator.cancelStaleGenerations());
    generations.failStalled();
    dispatch();
    commitReady();
    finishAbandoned();
    orderVersions();
    snapshotIfDue();
    pulls.respondToReady(this::tryPull);
  }

  private void claimIfFree() {
    boolean allowed = stream.isCaughtUp() && stream.hasReadRecently() && !stopping && !claiming;
    if (!allowed || !lease.mayClaim(now(), rank * CLAIM_DELAY_PER_RANK_MILLIS)) {
      return;
    }
    claiming = true;
    LogRecord claim =
        new LogRecord.LeaseClaimed(
            state.epoch() + 1,
            context.settings().node(),
            context.settings().address(),
            context.settings().lease().term().toMillis());
    stream.append(claim).subscribe().with(effective -> claiming = false);
  }

  private void renewIfDue() {
    boolean due =
        now() - lastRenewalMillis >= context.settings().lease().renewInterval().toMillis();
    if (due && !renewing) {
      renewing = true;
      lastRenewalMillis = now();
      stream
          .append(new LogRecord.LeaseRenewed(lease.epoch()))
          .subscribe()
          .with(effective -> renewing = false);
    }
  }

  private TrainerSettings settings() {
    return configuration.trainers().get(shard.trainer());
  }

  private EngineUse engineUse() {
    String group = configuration.engineGroupOf(shard.trainer()).orElse("");
    return new EngineUse(
        shard.toString(),
        group,
        shard.index(),
        settings().shards(),
        context.settings().minEngineSubsetSize());
  }

  private void dispatch() {
    EngineUse use = engineUse();
    engines.registerUse(use, this::isOwner);
    if (engines.isCurrent()) {
      execute(coordinator.dispatch(engines.views(use), context.settings().zone(), now()));
    }
  }

  private void execute(List<RunAction> actions) {
    for (RunAction action : actions) {
      if (action instanceof RunAction.Generate generate) {
        generations.start(generate, requestId(generate.attempt()), settings().model());
      } else if (action instanceof RunAction.Cancel cancel) {
        generations.cancel(cancel.attempt());
      } else if (action instanceof RunAction.Score score) {
        score(score);
      }
    }
  }

  private String requestId(AttemptId attempt) {
    return shard
        + "/"
        + attempt.epoch()
        + "/"
        + attempt.step()
        + "/"
        + attempt.slot()
        + "/"
        + attempt.attempt();
  }

  private void score(RunAction.Score score) {
    RunCoordinator requester = coordinator;
    scorer
        .score(settings().scorer(), score.sample())
        .subscribe()
        .with(
            value -> {
              if (requester == coordinator && coordinator != null) {
                coordinator.onScored(score.attempt(), value);
              }
            });
  }

  private void commitReady() {
    for (Optional<LogRecord> record = coordinator.commitReady();
        record.isPresent();
        record = coordinator.commitReady()) {
      // A commit also renews the lease.
      lastRenewalMillis = now();
      append(record.get());
    }
  }

  /** Finishes steps whose last pull was lost: the trainer already pulls a later step. */
  private void finishAbandoned() {
    for (long step : coordinator.abandonedSteps()) {
      if (stepsBeingFinished.add(step)) {
        stream
            .append(new LogRecord.StepFinished(lease.epoch(), step))
            .subscribe()
            .with(effective -> stepsBeingFinished.remove(step));
      }
    }
  }

  private void orderVersions() {
    if (lease.mayAct(now())) {
      versionOrders.send(
          engines.ownEngines(engineUse()),
          coordinator.enginesOfPulledStep(),
          settings().model(),
          coordinator.trainerVersion());
    }
  }

  private void snapshotIfDue() {
    if (recordsSinceSnapshot >= SNAPSHOT_INTERVAL_RECORDS && stream.isCaughtUp()) {
      recordsSinceSnapshot = 0;
      stream.writeSnapshot(Codec.encode(state.toSnapshot()));
    }
  }

  /** Handles a request to the owner of the shard. */
  public Uni<PeerResponse> onRequest(PeerRequest.ToOwner request) {
    if (coordinator == null) {
      return Uni.createFrom().item(new PeerResponse.NotOwner(ownerAddress()));
    }
    if (request instanceof PeerRequest.SubmitStep submit) {
      return submit(submit);
    } else if (request instanceof PeerRequest.PullSamples pull) {
      return pull(pull);
    } else if (request instanceof PeerRequest.StateVersion report) {
      return reportVersion(report.version());
    }
    return answerWhenDurable(new LogRecord.RunEnded(lease.epoch()));
  }

  private Uni<PeerResponse> submit(PeerRequest.SubmitStep submit) {
    if (state.wasSubmitted(submit.step())) {
      return Uni.createFrom().item(new PeerResponse.Done());
    }
    if (state.ended()) {
      return Uni.createFrom().item(new PeerResponse.Refused("the run has ended"));
    }
    return answerWhenDurable(
        new LogRecord.StepSubmitted(
            lease.epoch(), submit.step(), submit.prompts(), submit.samplesPerPrompt()));
  }

  private Uni<PeerResponse> reportVersion(long version) {
    coordinator.onTrainerVersion(version, now());
    if (version <= Math.max(state.trainerVersion(), versionBeingReported)) {
      return Uni.createFrom().item(new PeerResponse.Done());
    }
    versionBeingReported = version;
    return answerWhenDurable(new LogRecord.TrainerVersionStated(lease.epoch(), version));
  }

  private Uni<PeerResponse> answerWhenDurable(LogRecord record) {
    return stream
        .append(record)
        .map(
            effective ->
                effective ? new PeerResponse.Done() : new PeerResponse.NotOwner(ownerAddress()));
  }

  private void append(LogRecord record) {
    stream.append(record).subscribe().with(effective -> {});
  }

  private Uni<PeerResponse> pull(PeerRequest.PullSamples pull) {
    reportVersion(pull.trainerVersion()).subscribe().with(ignored -> {});
    Optional<PeerResponse> response = tryPull(pull);
    if (response.isPresent() || pull.waitMillis() <= 0) {
      return Uni.createFrom().item(response.orElseGet(() -> noSamples(pull)));
    }
    return pulls.await(pull, this::noSamples);
  }

  private Optional<PeerResponse> tryPull(PeerRequest.PullSamples pull) {
    StepState step = state.step(pull.step());
    if (step == null) {
      return Optional.of(
          state.wasSubmitted(pull.step())
              ? new PeerResponse.Samples(List.of(), (int) pull.cursor())
              : new PeerResponse.Refused("step " + pull.step() + " was not submitted"));
    }
    coordinator.onPull(pull.step(), pull.cursor());
    if (pull.cursor() >= step.slotCount()) {
      append(new LogRecord.StepFinished(lease.epoch(), pull.step()));
      return Optional.of(new PeerResponse.Samples(List.of(), step.slotCount()));
    }
    List<Sample> samples = coordinator.pull(pull.step(), pull.cursor(), pull.most());
    if (samples.isEmpty()) {
      return Optional.empty();
    }
    context.metrics().samplesHandedOver.increment(samples.size());
    return Optional.of(new PeerResponse.Samples(samples, step.slotCount()));
  }

  private PeerResponse noSamples(PeerRequest.PullSamples pull) {
    StepState step = state.step(pull.step());
    return new PeerResponse.Samples(
        List.of(), step == null ? (int) pull.cursor() : step.slotCount());
  }

  /** Returns the current time; ends the lease first if the clock has jumped, as by a suspension. */
  private long now() {
    long now = context.timers().nowMillis();
    long clockJumps = context.timers().clockJumps().count();
    if (clockJumps != lastClockJumpCount) {
      lastClockJumpCount = clockJumps;
      lease.onClockJump(now);
    }
    return now;
  }

  /** Forwards the results of generations to the coordinator; ignores them if there is none. */
  private final class GenerationListener implements GenerationRunner.Listener {
    @Override
    public boolean onSegment(AttemptId attempt, Segment segment) {
      return coordinator != null && coordinator.onSegment(attempt, segment);
    }

    @Override
    public void onGenerated(AttemptId attempt) {
      if (coordinator != null) {
        execute(coordinator.onGenerated(attempt));
        dispatch();
      }
    }

    @Override
    public void onFailed(AttemptId attempt, boolean keepTokens) {
      if (coordinator != null) {
        coordinator.onFailed(attempt, keepTokens);
      }
    }
  }
}
