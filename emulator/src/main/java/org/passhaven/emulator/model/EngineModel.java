package org.passhaven.emulator.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.passhaven.protocol.Segment;
import org.passhaven.protocol.ServerId;
import org.passhaven.spi.EngineService.GenerationRequest;
import org.passhaven.spi.EngineService.OrderOutcome;
import org.passhaven.spi.EngineService.Report;
import org.passhaven.spi.EngineService.VersionOrder;

/**
 * A model engine: continuous batching in steps, priorities, a prefix cache of limited memory, swaps
 * of weights in mid-generation that may fail, fenced orders, load reports with a lag. Its driver
 * calls {@link #step} as often as {@link #stepMillis} says. Not thread-safe but for its count of
 * tokens.
 */
public final class EngineModel {
  private static final double IDLE_STEP_SHARE = 0.6;

  /** Receives what becomes of one generation. */
  public interface Sink {
    /** New tokens with the version that generated them. */
    void onTokens(Segment segment);

    /** The sample is whole. */
    void onFinished();

    /** The engine lost the generation. */
    void onLost();
  }

  private final ServerId id;
  private final EngineSettings settings;
  private final WeightStoreModel store;
  private final BooleanSupplier swapFails;
  private final Map<String, Sequence> queued = new LinkedHashMap<>();
  private final Map<String, Sequence> running = new LinkedHashMap<>();
  private final PrefixCache cache;
  private String model;
  private long incarnation;
  private long version;
  private long orderEpoch;
  private Swap swap;
  private boolean leaving;
  private Report report;
  private long reportedAtMillis = Long.MIN_VALUE / 2;
  private final AtomicLong generatedTokens = new AtomicLong();
  private long busySequenceSteps;

  /** Creates a running engine that serves {@code version} of {@code model}. */
  public EngineModel(
      ServerId id,
      EngineSettings settings,
      String model,
      long incarnation,
      long version,
      WeightStoreModel store,
      BooleanSupplier swapFails) {
    this.id = Objects.requireNonNull(id, "id");
    this.settings = Objects.requireNonNull(settings, "settings");
    this.model = Objects.requireNonNull(model, "model");
    this.store = Objects.requireNonNull(store, "store");
    this.swapFails = Objects.requireNonNull(swapFails, "swapFails");
    this.cache = new PrefixCache(settings.cacheTokens());
    this.incarnation = incarnation;
    this.version = version;
  }

  /** Name. */
  public ServerId id() {
    return id;
  }

  /** Start of the engine. */
  public long incarnation() {
    return incarnation;
  }

  /** Version that it serves. */
  public long version() {
    return version;
  }

  /** Tokens generated since the beginning, over all starts. */
  public long generatedTokens() {
    return generatedTokens.get();
  }

  /** Steps of single sequences since the beginning. */
  public long busySequenceSteps() {
    return busySequenceSteps;
  }

  /** Takes a generation. */
  public void submit(GenerationRequest request, Sink sink) {
    queued.put(request.requestId(), new Sequence(request, sink));
  }

  /** Stops a generation; harmless if it is unknown. */
  public void cancel(String requestId) {
    queued.remove(requestId);
    running.remove(requestId);
  }

  /** Whether there is anything to do in a step. */
  public boolean isBusy() {
    return !queued.isEmpty() || !running.isEmpty() || swap != null;
  }

  /** Time of the next step; a small batch is faster. */
  public long stepMillis() {
    double fill = running.size() / (double) settings.capacity();
    return Math.max(
        1, Math.round(settings.stepMillis() * (IDLE_STEP_SHARE + (1 - IDLE_STEP_SHARE) * fill)));
  }

  /** One step of the whole batch. */
  public void step(long nowMillis) {
    if (advanceSwap(nowMillis)) {
      return;
    }
    admit();
    for (Sequence sequence : List.copyOf(running.values())) {
      if (running.containsKey(sequence.request.requestId())) {
        stepSequence(sequence);
      }
    }
  }

  private void admit() {
    if (running.size() >= settings.capacity() || queued.isEmpty()) {
      return;
    }
    List<Sequence> waiting = new ArrayList<>(queued.values());
    waiting.sort(
        Comparator.comparingInt((Sequence sequence) -> sequence.request.priority()).reversed());
    for (Sequence sequence : waiting) {
      if (running.size() >= settings.capacity()) {
        return;
      }
      queued.remove(sequence.request.requestId());
      sequence.prefillSteps = prefillSteps(sequence);
      running.put(sequence.request.requestId(), sequence);
    }
  }

  private int prefillSteps(Sequence sequence) {
    boolean cached = cache.use(sequence.request.prompt(), settings.promptTokens());
    int tokens = (cached ? 0 : settings.promptTokens()) + sequence.request.prefix().length;
    return tokens / settings.prefillTokensPerStep();
  }

  private void stepSequence(Sequence sequence) {
    busySequenceSteps++;
    if (sequence.prefillSteps > 0) {
      sequence.prefillSteps--;
      return;
    }
    int count = Math.min(settings.tokensPerStep(), sequence.length - sequence.done);
    if (count > 0) {
      emit(sequence, count);
    }
    if (sequence.done >= sequence.length) {
      running.remove(sequence.request.requestId());
      sequence.sink.onFinished();
    }
  }

  private void emit(Sequence sequence, int count) {
    int[] tokens = new int[count];
    for (int i = 0; i < count; i++) {
      tokens[i] =
          TokenOracle.token(
              sequence.promptHash, sequence.request.seed(), version, sequence.done + i);
    }
    sequence.done += count;
    generatedTokens.addAndGet(count);
    sequence.sink.onTokens(new Segment(version, id, incarnation, tokens));
  }

  /** Moves a swap on; returns whether it holds up the batch. */
  private boolean advanceSwap(long nowMillis) {
    if (swap == null || nowMillis < swap.downloadedAtMillis || store.isDown()) {
      return false;
    }
    if (swap.pauseEndsAtMillis < 0) {
      swap.pauseEndsAtMillis = nowMillis + settings.swapMillis();
    }
    if (nowMillis < swap.pauseEndsAtMillis) {
      return true;
    }
    finishSwap();
    return false;
  }

  private void finishSwap() {
    Swap finished = swap;
    swap = null;
    if (swapFails.getAsBoolean()) {
      finished.answer.accept(OrderOutcome.SWAP_FAILED);
      return;
    }
    model = finished.order.model();
    version = finished.order.version();
    finished.answer.accept(OrderOutcome.DONE);
  }

  /** Takes a fenced order; answers when it is done, has failed, or is refused as stale. */
  public void order(VersionOrder order, long nowMillis, Consumer<OrderOutcome> answer) {
    if (order.epoch() < orderEpoch) {
      answer.accept(OrderOutcome.STALE_EPOCH);
      return;
    }
    orderEpoch = order.epoch();
    if (order.version() <= version) {
      answer.accept(OrderOutcome.DONE);
      return;
    }
    if (swap != null) {
      swap.answer.accept(OrderOutcome.SWAP_FAILED);
    }
    swap = new Swap(order, store.download(nowMillis), answer);
  }

  /** Load and state, as old as the lag allows. */
  public Report report(long nowMillis) {
    if (report == null || nowMillis - reportedAtMillis >= settings.reportLagMillis()) {
      report =
          new Report(
              incarnation,
              model,
              version,
              orderEpoch,
              running.size(),
              queued.size(),
              settings.capacity(),
              leaving);
      reportedAtMillis = nowMillis;
    }
    return report;
  }

  /** The platform wants the engine to go: it finishes what it has. */
  public void setLeaving() {
    leaving = true;
  }

  /** Loses everything in memory and starts again on {@code startVersion}. */
  public void restart(long newIncarnation, long startVersion) {
    List<Sequence> lost = new ArrayList<>(running.values());
    lost.addAll(queued.values());
    running.clear();
    queued.clear();
    cache.clear();
    swap = null;
    incarnation = newIncarnation;
    version = startVersion;
    orderEpoch = 0;
    report = null;
    lost.forEach(sequence -> sequence.sink.onLost());
  }

  private static final class Sequence {
    final GenerationRequest request;
    final Sink sink;
    final long promptHash;
    final int length;
    int done;
    int prefillSteps;

    Sequence(GenerationRequest request, Sink sink) {
      this.request = request;
      this.sink = sink;
      this.promptHash = TokenOracle.hash(request.prompt());
      this.length = TokenOracle.length(request.prompt(), request.seed());
      this.done = request.prefix().length;
    }
  }

  private static final class Swap {
    final VersionOrder order;
    final long downloadedAtMillis;
    final Consumer<OrderOutcome> answer;
    long pauseEndsAtMillis = -1;

    Swap(VersionOrder order, long downloadedAtMillis, Consumer<OrderOutcome> answer) {
      this.order = order;
      this.downloadedAtMillis = downloadedAtMillis;
      this.answer = answer;
    }
  }
}
