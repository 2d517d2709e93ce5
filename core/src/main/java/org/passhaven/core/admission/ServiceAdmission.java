package org.passhaven.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntUnaryOperator;
import org.passhaven.core.admission.AdmissionRequest.Source;
import org.passhaven.core.admission.AdmissionVerdict.Reason;
import org.passhaven.core.admission.AdmissionVerdict.Reject;
import org.passhaven.core.admission.FairQueue.Turn;

/**
 * Whether requests of one service are sent, wait or are rejected at one node. It counts requests
 * that were sent and haven't ended, and knows servers by how long their answers take. Times in
 * monotonic milliseconds. Not thread-safe.
 */
public final class ServiceAdmission {
  /**
   * Most waiting requests: bounds the memory they take, and is far more than can be served in time.
   */
  private static final int MAX_WAITING = 256;

  /**
   * A third of the time to wait, a third until the caller comes back if it was in vain, a third for
   * the second try.
   */
  private static final int WAIT_PART_OF_TIME_LEFT = 3;

  /** A node that stops ends after some seconds; what waits for longer is better off elsewhere. */
  private static final long MAX_WAIT_STOPPING_MILLIS = 1_000;

  /**
   * Longest time told to callers while there is no server: servers are restarted within seconds.
   */
  private static final long MAX_OUTAGE_RETRY_MILLIS = 2_000;

  /** Time between two checks of the waiting requests; short against the time of an answer. */
  public static final long SWEEP_MILLIS = 10;

  /** Assumed time of an answer until the first one has come. */
  private static final double INITIAL_ANSWER_MILLIS = 30;

  /** Weight of the newest answer in the moving average of answer times. */
  private static final double ANSWER_WEIGHT = 0.1;

  /**
   * A waiting request that may be sent now, or that is rejected since it can't be served in time.
   */
  public record Change(AdmissionRequest request, AdmissionVerdict verdict) {}

  /**
   * Figures for logs and metrics.
   *
   * @param inProgress requests that were sent and have not ended
   * @param waiting requests in the queue
   * @param limit requests that may be at the servers
   */
  public record Load(int inProgress, int waiting, int limit) {}

  private final ConcurrencyLimit limit = new ConcurrencyLimit();
  private final AdmissionQueue queue;
  private final RetryAfter retryAfter;
  private final Map<String, RouteLatency> latencies = new HashMap<>();
  private final Map<Long, AdmissionRequest> started = new HashMap<>();
  private final Map<Long, Long> waitUntilMillis = new HashMap<>();
  private int callersStarted;
  private double answerMillis = INITIAL_ANSWER_MILLIS;
  private long lastServerAtMillis;
  private long stopWaitUntilMillis = Long.MAX_VALUE;
  private long sweepAtMillis = Long.MIN_VALUE;

  /**
   * Creates the admission to a service of which no server is known.
   *
   * @param randomBelow random number from zero to below the argument
   */
  public ServiceAdmission(IntUnaryOperator randomBelow, long nowMillis) {
    this.retryAfter = new RetryAfter(randomBelow);
    this.queue = new AdmissionQueue(nowMillis);
    this.lastServerAtMillis = nowMillis;
  }

  /**
   * Servers that take new work now. Call {@link #next} afterwards.
   *
   * @param places requests that all of them work on at once
   */
  public void onServers(int servers, int places, long nowMillis) {
    if (limit.places() > 0) {
      lastServerAtMillis = nowMillis;
    }
    limit.onServers(servers, places);
    sweepAtMillis = nowMillis;
  }

  /** A request asks for a place. It holds one once it was told to be sent. */
  public AdmissionVerdict offer(AdmissionRequest request, long nowMillis) {
    if (limit.places() == 0) {
      return reject(request, Reason.NO_SERVER, nowMillis);
    }
    queue.onCame(request, nowMillis);
    if (hasPlace(request.source(), nowMillis) && !isAwaited(request.source())) {
      start(request, nowMillis);
      return new AdmissionVerdict.Send();
    }
    long waitUntil = waitUntilMillis(request, nowMillis);
    Optional<Reason> hopeless = hopeless(request, waitUntil, nowMillis);
    if (hopeless.isPresent()) {
      return reject(request, hopeless.get(), nowMillis);
    }
    queue.add(request);
    if (queue.size() > MAX_WAITING && queue.firstToReject().equals(request)) {
      queue.remove(request);
      return reject(request, Reason.QUEUE_FULL, nowMillis);
    }
    waitUntilMillis.put(request.id(), waitUntil);
    return new AdmissionVerdict.Wait();
  }

  private static long waitUntilMillis(AdmissionRequest request, long nowMillis) {
    // A scoring is retried by this node itself, so rejecting it early gains nothing.
    return request.source() == Source.SCORING
        ? request.deadlineMillis()
        : nowMillis + (request.deadlineMillis() - nowMillis) / WAIT_PART_OF_TIME_LEFT;
  }

  private boolean isAwaited(Source source) {
    return queue.size() > 0 && queue.all().stream().anyMatch(each -> each.source() == source);
  }

  /**
   * Callers may always use half of the places in addition, even while scorings hold all of them.
   */
  private boolean hasPlace(Source source, long nowMillis) {
    return started.size() < limit.current(nowMillis)
        || (source == Source.CALLER && callersStarted < limit.floor());
  }

  private void start(AdmissionRequest request, long nowMillis) {
    queue.onSent(request, nowMillis);
    started.put(request.id(), request);
    callersStarted += request.source() == Source.CALLER ? 1 : 0;
  }

  /** Why a request can't wait any longer; empty if it can. */
  private Optional<Reason> hopeless(
      AdmissionRequest request, long waitUntilMillis, long nowMillis) {
    return hopeless(request, queue.ahead(request, nowMillis), waitUntilMillis, nowMillis);
  }

  private Optional<Reason> hopeless(
      AdmissionRequest request, int ahead, long waitUntilMillis, long nowMillis) {
    if (limit.places() == 0) {
      return Optional.of(Reason.NO_SERVER);
    }
    double startAt = nowMillis + (ahead + 1) * millisPerPlace(nowMillis);
    if (startAt + expectedWorkMillis(request, nowMillis) > request.deadlineMillis()) {
      return Optional.of(Reason.TOO_LATE);
    }
    return startAt > Math.min(waitUntilMillis, stopWaitUntilMillis)
        ? Optional.of(Reason.TOO_LONG)
        : Optional.empty();
  }

  /** Expected time until a request is sent that waits or would wait. */
  public double expectedWaitMillis(AdmissionRequest request, long nowMillis) {
    return (queue.ahead(request, nowMillis) + 1) * millisPerPlace(nowMillis);
  }

  /** Mean time between two places becoming free while the limit is used up. */
  private double millisPerPlace(long nowMillis) {
    return answerMillis / Math.max(1, limit.current(nowMillis));
  }

  private double expectedWorkMillis(AdmissionRequest request, long nowMillis) {
    RouteLatency known = latencies.get(request.route());
    return known == null || known.isIdle(nowMillis) ? 0 : known.smoothedMillis();
  }

  private Reject reject(AdmissionRequest request, Reason reason, long nowMillis) {
    return new Reject(reason, retryAfterMillis(request, nowMillis));
  }

  /** When the caller of a request that was not run may come back. */
  public long retryAfterMillis(AdmissionRequest request, long nowMillis) {
    long left = request.deadlineMillis() - nowMillis;
    if (request.source() == Source.SCORING) {
      // This node itself retries, and a training step waits for its last scoring.
      return retryAfter.millis(0, 0, left);
    }
    // An outage is likely to last about as long again as it has lasted.
    double drainMillis =
        limit.places() == 0
            ? Math.min(MAX_OUTAGE_RETRY_MILLIS, nowMillis - lastServerAtMillis)
            : queue.size() * millisPerPlace(nowMillis);
    return retryAfter.millis(drainMillis, request.priority(), left);
  }

  /** A server has answered a request with success. */
  public void onAnswer(AdmissionRequest request, long tookMillis, long nowMillis) {
    latencies.values().removeIf(each -> each.isIdle(nowMillis));
    double ratio =
        latencies
            .computeIfAbsent(request.route(), route -> new RouteLatency())
            .onAnswer(tookMillis, nowMillis);
    answerMillis += ANSWER_WEIGHT * (tookMillis - answerMillis);
    boolean isInUse = started.size() >= limit.current(nowMillis);
    limit.onAnswer(ratio, isInUse, nowMillis);
  }

  /** A server refused a request since it is full. */
  public void onFull(long nowMillis) {
    limit.onFull(nowMillis);
  }

  /** A request has ended, or its caller has left, whether it was sent or waits. */
  public void onEnded(AdmissionRequest request) {
    if (started.remove(request.id()) != null) {
      callersStarted -= request.source() == Source.CALLER ? 1 : 0;
    } else if (waitUntilMillis.remove(request.id()) != null) {
      queue.remove(request);
    }
  }

  /**
   * Decides which waiting requests are sent now and which are rejected. Call it when a request has
   * ended, when servers have changed, and every {@link #SWEEP_MILLIS} while any wait.
   */
  public List<Change> next(long nowMillis) {
    List<Change> changes = new ArrayList<>();
    sendWhileThereIsRoom(changes, nowMillis);
    rejectHopeless(changes, nowMillis);
    return changes;
  }

  private void sendWhileThereIsRoom(List<Change> changes, long nowMillis) {
    while (limit.places() > 0 && queue.size() > 0) {
      Optional<AdmissionRequest> turn =
          queue.poll(source -> hasPlace(source, nowMillis), nowMillis);
      if (turn.isEmpty()) {
        return;
      }
      waitUntilMillis.remove(turn.get().id());
      start(turn.get(), nowMillis);
      changes.add(new Change(turn.get(), new AdmissionVerdict.Send()));
    }
  }

  private void rejectHopeless(List<Change> changes, long nowMillis) {
    while (queue.size() > MAX_WAITING) {
      takeOut(queue.firstToReject(), Reason.QUEUE_FULL, changes, nowMillis);
    }
    if (nowMillis < sweepAtMillis) {
      return;
    }
    sweepAtMillis = nowMillis + SWEEP_MILLIS;
    for (Turn turn : queue.turns(nowMillis)) {
      AdmissionRequest request = turn.request();
      long waitUntil = waitUntilMillis.get(request.id());
      // Rejections earlier in this loop shorten the wait of later requests: check again.
      if (hopeless(request, turn.ahead(), waitUntil, nowMillis).isPresent()) {
        hopeless(request, waitUntil, nowMillis)
            .ifPresent(reason -> takeOut(request, reason, changes, nowMillis));
      }
    }
  }

  private void takeOut(
      AdmissionRequest request, Reason reason, List<Change> changes, long nowMillis) {
    Reject verdict = reject(request, reason, nowMillis);
    queue.remove(request);
    waitUntilMillis.remove(request.id());
    changes.add(new Change(request, verdict));
  }

  /** The node begins to stop: from now on requests wait for a short time only. */
  public void stop(long nowMillis) {
    stopWaitUntilMillis = nowMillis + MAX_WAIT_STOPPING_MILLIS;
  }

  /** The node ends: all waiting requests are rejected. */
  public List<Change> end(long nowMillis) {
    List<Change> changes = new ArrayList<>();
    queue.all().forEach(request -> takeOut(request, Reason.STOPPING, changes, nowMillis));
    return changes;
  }

  /** Present figures for logs and metrics. */
  public Load load(long nowMillis) {
    return new Load(started.size(), queue.size(), limit.current(nowMillis));
  }
}
