package org.passhaven.node.run;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.Cancellable;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.passhaven.core.configuration.ConfigurationImage;
import org.passhaven.core.configuration.TrainerSettings;
import org.passhaven.core.lease.LeaseWatch;
import org.passhaven.core.routing.EngineView;
import org.passhaven.core.run.AttemptId;
import org.passhaven.core.run.RunAction;
import org.passhaven.core.run.RunCoordinator;
import org.passhaven.core.run.RunSnapshot;
import org.passhaven.core.run.RunState;
import org.passhaven.core.run.StepState;
import org.passhaven.core.weights.VersionRollout;
import org.passhaven.node.NodeContext;
import org.passhaven.node.backend.EngineDirectory;
import org.passhaven.node.backend.EngineUse;
import org.passhaven.node.stream.StreamClient;
import org.passhaven.node.stream.StreamListener;
import org.passhaven.platform.EngineService;
import org.passhaven.platform.PlatformException;
import org.passhaven.platform.Timers;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.LogEntry;
import org.passhaven.protocol.LogRecord;
import org.passhaven.protocol.PeerRequest;
import org.passhaven.protocol.PeerResponse;
import org.passhaven.protocol.Sample;
import org.passhaven.protocol.Segment;
import org.passhaven.protocol.ServerId;
import org.passhaven.protocol.ShardId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves one shard at one of its candidate nodes: follows the shard's stream, claims the lease when
 * it is free, and as its owner carries out the decisions of a {@link RunCoordinator}.
 *
 * <p>Hand-over does not depend on the lease's clock: a slot's position is fixed by the first valid
 * commit in the log, and only samples whose commit was read back are handed over, so an owner that
 * was succeeded without knowing it hands over nothing that its successor places elsewhere.
 */
public final class RunAgent implements StreamListener {
  private static final Logger LOG = LoggerFactory.getLogger(RunAgent.class);
  private static final int SNAPSHOT_EVERY_RECORDS = 400;
  private static final long RANK_WAIT_MILLIS = 500;
  private static final long STALL_LIMIT_MILLIS = 120_000;
  private static final long STALL_LIMIT_SILENT_ENGINE_MILLIS = 3_000;
  private final NodeContext context;
  private final ShardId shard;
  private final EngineDirectory engines;
  private final SampleScorer scorer;
  private final StreamClient stream;
  private final LeaseWatch lease;
  private final Map<AttemptId, Running> running = new HashMap<>();
  private final Set<Long> finishing = new HashSet<>();
  private final List<PendingPull> pulls = new ArrayList<>();
  private RunState state = new RunState();
  private ConfigurationImage configuration;
  private RunCoordinator coordinator;
  private VersionRollout rollout;
  private Timers.Timer ticking;
  private int rank;
  private boolean claiming;
  private boolean renewing;
  private long lastRenewalMillis = Long.MIN_VALUE / 2;
  private long versionBeingStated;
  private int recordsSinceSnapshot;
  private boolean stopping;
  private boolean closed;

  /** Creates the agent; {@link #start} begins to follow the stream. */
  public RunAgent(
      NodeContext context,
      ShardId shard,
      ConfigurationImage configuration,
      EngineDirectory engines,
      SampleScorer scorer) {
    this.context = Objects.requireNonNull(context, "context");
    this.shard = Objects.requireNonNull(shard, "shard");
    this.configuration = Objects.requireNonNull(configuration, "configuration");
    this.engines = Objects.requireNonNull(engines, "engines");
    this.scorer = Objects.requireNonNull(scorer, "scorer");
    this.stream = new StreamClient(context, shard.stream(), this);
    this.lease = new LeaseWatch(context.settings().lease(), now());
  }

  /** Begins to follow the stream. */
  public void start() {
    stream.start();
    ticking = context.timers().every(context.settings().tick().toMillis(), this::tick);
  }

  /** Place among the shard's candidates, from zero; later ones wait longer before they claim. */
  public void setRank(int newRank) {
    rank = newRank;
  }

  /**
   * A new configuration came into force; one without this trainer ends the agent by {@link
   * #release}.
   */
  public void setConfiguration(ConfigurationImage image) {
    TrainerSettings settings = image.trainers().get(shard.trainer());
    if (settings == null) {
      return;
    }
    configuration = image;
    if (coordinator != null) {
      coordinator.setSettings(settings);
    }
  }

  /** Whether this node owns the shard. */
  public boolean isOwner() {
    return coordinator != null;
  }

  /** Whether this node owns the shard and its lease has not lapsed. */
  public boolean holdsLease() {
    return coordinator != null && lease.mayAct(now());
  }

  /** Peer address of the newest owner; empty if unknown. */
  public String ownerAddress() {
    return state.released() ? "" : state.ownerAddress();
  }

  /** Gives the lease back and ends; gives a result once that is durable or nothing was held. */
  public Uni<Void> release() {
    stopping = true;
    if (coordinator == null) {
      close();
      return Uni.createFrom().voidItem();
    }
    return stream
        .append(new LogRecord.LeaseReleased(lease.epoch()))
        .map(
            effective -> {
              close();
              return null;
            });
  }

  /** Ends at once; the lease lapses by itself. */
  public void close() {
    closed = true;
    if (ticking != null) {
      ticking.cancel();
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
      case APPLIED -> onFolded(sentAtMillis);
      case IGNORED -> {}
    }
    return effect != RunState.Effect.IGNORED;
  }

  private void onClaimed(boolean isOwn, long sentAtMillis) {
    lease.onClaimRead(state.epoch(), isOwn, now(), sentAtMillis);
    stepDown();
    TrainerSettings settings = configuration.trainers().get(shard.trainer());
    if (isOwn && !closed && settings != null) {
      coordinator =
          new RunCoordinator(state, state.epoch(), settings, context.settings().dispatchPolicy());
      rollout = new VersionRollout(context.settings().swapsAtOnce());
      lastRenewalMillis = now();
      context.metrics().leasesClaimed.increment();
      LOG.info("run: {} is owned here under epoch {}", shard, state.epoch());
    }
  }

  private void onFolded(long sentAtMillis) {
    lease.onFencedRead(now(), sentAtMillis);
    if (coordinator != null) {
      coordinator.onFolded();
      servePulls();
    }
  }

  private void stepDown() {
    if (coordinator != null) {
      LOG.info("run: {} is no longer owned here", shard);
    }
    coordinator = null;
    running.values().forEach(generation -> generation.cancel(this));
    running.clear();
    List<PendingPull> waiting = List.copyOf(pulls);
    pulls.clear();
    waiting.forEach(pull -> pull.emitter.complete(new PeerResponse.NotOwner(ownerAddress())));
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
    carryOut(coordinator.cancelOverAge());
    failStalled();
    dispatch();
    commitReady();
    finishAbandoned();
    orderVersions();
    snapshotIfDue();
    servePulls();
  }

  private void claimIfFree() {
    boolean allowed = stream.isCaughtUp() && !stopping && !claiming && !stream.isDown();
    if (!allowed || !lease.mayClaim(now(), rank * RANK_WAIT_MILLIS)) {
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
    boolean due = now() - lastRenewalMillis >= context.settings().lease().renewEvery().toMillis();
    if (!due || renewing) {
      return;
    }
    renewing = true;
    lastRenewalMillis = now();
    stream
        .append(new LogRecord.LeaseRenewed(lease.epoch()))
        .subscribe()
        .with(effective -> renewing = false);
  }

  private String group() {
    return configuration.engineGroupOf(shard.trainer()).orElse("");
  }

  private EngineUse use() {
    int shards = configuration.trainers().get(shard.trainer()).shards();
    return new EngineUse(
        shard.toString(), group(), shard.index(), shards, context.settings().engineSubset());
  }

  private void dispatch() {
    EngineUse use = use();
    engines.use(use, this::isOwner);
    if (!engines.isCurrent()) {
      return;
    }
    carryOut(coordinator.dispatch(engines.views(use), context.settings().zone(), now()));
  }

  private void carryOut(List<RunAction> actions) {
    for (RunAction action : actions) {
      if (action instanceof RunAction.Generate generate) {
        generate(generate);
      } else if (action instanceof RunAction.Cancel cancel) {
        cancel(cancel.attempt());
      } else if (action instanceof RunAction.Score score) {
        score(score);
      } else if (action instanceof RunAction.Append append) {
        stream.append(append.record()).subscribe().with(effective -> {});
      }
    }
  }

  private void generate(RunAction.Generate generate) {
    AttemptId attempt = generate.attempt();
    EngineService.GenerationRequest request =
        new EngineService.GenerationRequest(
            requestId(attempt),
            configuration.trainers().get(shard.trainer()).model(),
            generate.prompt().text(),
            generate.prompt().seed() + generate.sampleIndex(),
            EngineService.tokensOf(generate.prefix()),
            generate.priority());
    Running entry = new Running(generate.engine().id(), now());
    running.put(attempt, entry);
    engines.onBegin(entry.engine);
    context.metrics().generationsBegun.increment();
    Cancellable stop =
        context
            .platform()
            .engines()
            .generate(generate.engine().address(), request)
            .subscribe()
            .with(
                segment -> onSegment(attempt, segment),
                failure -> onGenerationFailed(attempt, failure),
                () -> onGenerated(attempt));
    entry.stop = stop;
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

  private void onSegment(AttemptId attempt, Segment segment) {
    Running entry = running.get(attempt);
    if (entry == null || coordinator == null) {
      return;
    }
    if (!entry.engine.equals(segment.engine())
        || !entry.acceptsIncarnation(segment.incarnation())) {
      // Another engine or start answers under this stream: its versions can't be trusted.
      cancel(attempt);
      coordinator.onFailed(attempt, false);
      return;
    }
    entry.progressAtMillis = now();
    engines.onVersionSeen(segment.engine(), segment.incarnation(), segment.version());
    if (!coordinator.onSegment(attempt, segment)) {
      cancel(attempt);
    }
  }

  private void onGenerated(AttemptId attempt) {
    if (end(attempt, false) && coordinator != null) {
      carryOut(coordinator.onGenerated(attempt));
      dispatch();
    }
  }

  private void onGenerationFailed(AttemptId attempt, Throwable failure) {
    if (end(attempt, true) && coordinator != null) {
      LOG.debug("run: {} attempt {} failed: {}", shard, attempt, failure.getMessage());
      context.metrics().generationsFailed.increment();
      coordinator.onFailed(attempt, true);
    }
  }

  /** A stream from an engine that stopped answering may hang for ever: go on elsewhere. */
  private void failStalled() {
    long now = now();
    List<AttemptId> stalled = new ArrayList<>();
    running.forEach(
        (attempt, entry) -> {
          boolean answering = engines.isAnswering(entry.engine);
          long limit = answering ? STALL_LIMIT_MILLIS : STALL_LIMIT_SILENT_ENGINE_MILLIS;
          if (now - entry.progressAtMillis > limit) {
            stalled.add(attempt);
          }
        });
    for (AttemptId attempt : stalled) {
      Cancellable stop = running.get(attempt).stop;
      onGenerationFailed(
          attempt, new PlatformException(PlatformException.Kind.OUTCOME_UNKNOWN, "no progress"));
      if (stop != null) {
        stop.cancel();
      }
    }
  }

  private void cancel(AttemptId attempt) {
    Running entry = running.remove(attempt);
    if (entry != null) {
      entry.cancel(this);
    }
  }

  private boolean end(AttemptId attempt, boolean failed) {
    Running entry = running.remove(attempt);
    if (entry != null) {
      engines.onEnd(entry.engine, failed);
    }
    return entry != null;
  }

  private void score(RunAction.Score score) {
    RunCoordinator asked = coordinator;
    String service = configuration.trainers().get(shard.trainer()).scorer();
    scorer
        .score(service, score.sample())
        .subscribe()
        .with(
            value -> {
              if (asked == coordinator && coordinator != null) {
                coordinator.onScored(score.attempt(), value);
              }
            });
  }

  private void commitReady() {
    for (Optional<LogRecord> record = coordinator.commitReady();
        record.isPresent();
        record = coordinator.commitReady()) {
      lastRenewalMillis = now();
      stream.append(record.get()).subscribe().with(effective -> {});
    }
  }

  /** A trainer's last word on a step may be lost; what it pulls later tells as much. */
  private void finishAbandoned() {
    for (long step : coordinator.abandonedSteps()) {
      if (finishing.add(step)) {
        stream
            .append(new LogRecord.StepFinished(lease.epoch(), step))
            .subscribe()
            .with(effective -> finishing.remove(step));
      }
    }
  }

  /**
   * Each owner orders the engines of its own part to the trainer's version. The version is also the
   * fence: it only grows, so an owner that was succeeded without knowing it can order nothing
   * older.
   */
  private void orderVersions() {
    if (!lease.mayAct(now())) {
      return;
    }
    long target = coordinator.trainerVersion();
    String model = configuration.trainers().get(shard.trainer()).model();
    List<EngineView> part = engines.ownPart(use());
    for (EngineView engine : rollout.plan(part, coordinator.enginesOfPulledStep(), target, now())) {
      order(engine, new EngineService.VersionOrder(model, target, target));
    }
  }

  private void order(EngineView engine, EngineService.VersionOrder order) {
    VersionRollout asked = rollout;
    context
        .platform()
        .engines()
        .order(engine.address(), order)
        .subscribe()
        .with(
            outcome -> {
              boolean done = outcome == EngineService.OrderOutcome.DONE;
              asked.onAnswer(engine.id(), done, now());
              if (done) {
                engines.onVersionSeen(engine.id(), engine.incarnation(), order.version());
              }
            },
            failure -> asked.onAnswer(engine.id(), false, now()));
  }

  private void snapshotIfDue() {
    if (recordsSinceSnapshot >= SNAPSHOT_EVERY_RECORDS && stream.isCaughtUp()) {
      recordsSinceSnapshot = 0;
      stream.writeSnapshot(Codec.encode(state.toSnapshot()));
    }
  }

  /** Serves a request that is for the owner. */
  public Uni<PeerResponse> onRequest(PeerRequest.ToOwner request) {
    if (coordinator == null) {
      return Uni.createFrom().item(new PeerResponse.NotOwner(ownerAddress()));
    }
    if (request instanceof PeerRequest.SubmitStep submit) {
      return submit(submit);
    } else if (request instanceof PeerRequest.PullSamples pull) {
      return pull(pull);
    } else if (request instanceof PeerRequest.StateVersion stated) {
      return stateVersion(stated.version());
    }
    return append(new LogRecord.RunEnded(lease.epoch()));
  }

  private Uni<PeerResponse> submit(PeerRequest.SubmitStep submit) {
    if (state.wasSubmitted(submit.step())) {
      return Uni.createFrom().item(new PeerResponse.Done());
    }
    if (state.ended()) {
      return Uni.createFrom().item(new PeerResponse.Refused("the run has ended"));
    }
    return append(
        new LogRecord.StepSubmitted(
            lease.epoch(), submit.step(), submit.prompts(), submit.samplesPerPrompt()));
  }

  private Uni<PeerResponse> stateVersion(long version) {
    coordinator.onTrainerVersion(version, now());
    if (version <= Math.max(state.trainerVersion(), versionBeingStated)) {
      return Uni.createFrom().item(new PeerResponse.Done());
    }
    versionBeingStated = version;
    return append(new LogRecord.TrainerVersionStated(lease.epoch(), version));
  }

  private Uni<PeerResponse> append(LogRecord record) {
    return stream
        .append(record)
        .map(
            effective ->
                effective ? new PeerResponse.Done() : new PeerResponse.NotOwner(ownerAddress()));
  }

  private Uni<PeerResponse> pull(PeerRequest.PullSamples pull) {
    stateVersion(pull.trainerVersion()).subscribe().with(ignored -> {});
    Optional<PeerResponse> answer = tryPull(pull);
    if (answer.isPresent() || pull.waitMillis() <= 0) {
      return Uni.createFrom().item(answer.orElseGet(() -> noSamples(pull)));
    }
    return Uni.createFrom()
        .emitter(
            emitter -> {
              PendingPull pending = new PendingPull(pull, emitter);
              pulls.add(pending);
              context
                  .timers()
                  .after(
                      pull.waitMillis(),
                      () -> {
                        if (pulls.remove(pending)) {
                          emitter.complete(noSamples(pull));
                        }
                      });
            });
  }

  private Optional<PeerResponse> tryPull(PeerRequest.PullSamples pull) {
    StepState step = state.step(pull.step());
    if (step == null) {
      boolean finished = state.wasSubmitted(pull.step());
      return finished
          ? Optional.of(new PeerResponse.Samples(List.of(), (int) pull.cursor()))
          : Optional.of(new PeerResponse.Refused("step " + pull.step() + " was not submitted"));
    }
    coordinator.onPull(pull.step(), pull.cursor());
    if (pull.cursor() >= step.slotCount()) {
      append(new LogRecord.StepFinished(lease.epoch(), pull.step()))
          .subscribe()
          .with(ignored -> {});
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

  private void servePulls() {
    for (PendingPull pending : List.copyOf(pulls)) {
      tryPull(pending.request)
          .ifPresent(
              answer -> {
                if (pulls.remove(pending)) {
                  pending.emitter.complete(answer);
                }
              });
    }
  }

  private long now() {
    return context.timers().nowMillis();
  }

  private record PendingPull(
      PeerRequest.PullSamples request, UniEmitter<? super PeerResponse> emitter) {}

  private static final class Running {
    private static final long NO_INCARNATION = Long.MIN_VALUE;
    final ServerId engine;
    Cancellable stop;
    long progressAtMillis;
    private long incarnation = NO_INCARNATION;

    Running(ServerId engine, long nowMillis) {
      this.engine = engine;
      this.progressAtMillis = nowMillis;
    }

    boolean acceptsIncarnation(long reported) {
      if (incarnation == NO_INCARNATION) {
        incarnation = reported;
      }
      return incarnation == reported;
    }

    void cancel(RunAgent agent) {
      agent.engines.onEnd(engine, false);
      if (stop != null) {
        stop.cancel();
      }
    }
  }
}
