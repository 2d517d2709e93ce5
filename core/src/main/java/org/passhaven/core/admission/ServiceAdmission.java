package org.passhaven.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntUnaryOperator;
import org.passhaven.core.admission.AdmissionDecision.Reason;
import org.passhaven.core.admission.AdmissionDecision.Reject;
import org.passhaven.core.admission.AdmissionRequest.Source;
import org.passhaven.core.admission.FairQueue.QueuePosition;

/**
 * Admission control for the requests of one node to one service: decides whether a request is sent,
 * queued or rejected. It counts requests in flight and estimates the load of the servers from their
 * response times. Times are in monotonic milliseconds. Not thread-safe.
 */
public final class ServiceAdmission {
  /**
   * Maximum number of waiting requests. It bounds the memory of the queue and is far more than can
   * be served in time.
   */
  private static final int MAX_WAITING = 256;

  /**
   * A request may wait for its remaining time divided by this: a third for waiting, a third until
   * the caller retries after a rejection, a third for the second attempt.
   */
  private static final int WAIT_TIME_LEFT_DIVISOR = 3;

  /**
   * Maximum wait while the node is shutting down, which takes some seconds; requests that would
   * wait longer are better retried at another node.
   */
  private static final long MAX_WAIT_STOPPING_MILLIS = 1_000;

  /**
   * Time of a shutdown after which a request counts as late. Callers learn of the shutdown within
   * some seconds, so few requests come later; what is sent more than 3 s after its begin must not
   * be lost at its end, and the node learns of the begin a moment late.
   */
  private static final long LATE_SHUTDOWN_MILLIS = 2_500;

  /**
   * Maximum expected duration of an outage, from which retry times are computed: servers restart
   * within seconds.
   */
  private static final long MAX_OUTAGE_RETRY_MILLIS = 2_000;

  /** Interval of the checks of waiting requests; short compared with a response time. */
  public static final long SWEEP_INTERVAL_MILLIS = 10;

  /** Assumed response time until the first response has arrived. */
  private static final double INITIAL_RESPONSE_MILLIS = 30;

  /** Weight of the newest response in the moving average of response times. */
  private static final double RESPONSE_WEIGHT = 0.1;

  /** Decision on a request that was waiting: it is sent now or rejected. */
  public record WaitingDecision(AdmissionRequest request, AdmissionDecision decision) {}

  /**
   * Load figures for logs and metrics.
   *
   * @param inProgress requests in flight
   * @param waiting requests in the queue
   * @param limit maximum number of requests in flight
   */
  public record Load(int inProgress, int waiting, int limit) {}

  private final ConcurrencyLimit limit = new ConcurrencyLimit();
  private final AdmissionQueue queue;
  private final RetryAfter retryAfter;
  private final Map<String, RouteLatency> latencies = new HashMap<>();
  private final Map<Long, AdmissionRequest> inFlight = new HashMap<>();
  private final Map<Long, Long> waitUntilMillis = new HashMap<>();
  private int callersInFlight;
  private double responseMillis = INITIAL_RESPONSE_MILLIS;
  private long lastServerAtMillis;
  private long shutdownWaitUntilMillis = Long.MAX_VALUE;
  private long shutdownLateMillis = Long.MAX_VALUE;
  private long shutdownEndMillis = Long.MAX_VALUE;
  private long sweepAtMillis = Long.MIN_VALUE;

  /**
   * Creates the admission control of a service without known servers.
   *
   * @param randomBelow returns a random number from zero (inclusive) to its argument (exclusive)
   */
  public ServiceAdmission(IntUnaryOperator randomBelow, long nowMillis) {
    this.retryAfter = new RetryAfter(randomBelow);
    this.queue = new AdmissionQueue(nowMillis);
    this.lastServerAtMillis = nowMillis;
  }

  /**
   * Sets the servers that accept new work. Call {@link #decideWaiting} afterwards.
   *
   * @param slots number of requests that all of them process concurrently
   */
  public void onServers(int servers, int slots, long nowMillis) {
    if (limit.slots() > 0) {
      lastServerAtMillis = nowMillis;
    }
    limit.onServers(servers, slots);
    sweepAtMillis = nowMillis;
  }

  /** Decides on a new request. It occupies a slot once the decision is to send it. */
  public AdmissionDecision decide(AdmissionRequest request, long nowMillis) {
    if (limit.slots() == 0) {
      return reject(request, Reason.NO_SERVER, nowMillis);
    }
    if (outlastsNode(request, nowMillis)) {
      return reject(request, Reason.STOPPING, nowMillis);
    }
    queue.onArrived(request, nowMillis);
    if (hasSlot(request.source(), nowMillis) && !hasWaiting(request.source())) {
      start(request, nowMillis);
      return new AdmissionDecision.Send();
    }
    long waitUntil = waitUntilMillis(request, nowMillis);
    Optional<Reason> reason = rejectionReason(request, waitUntil, nowMillis);
    if (reason.isPresent()) {
      return reject(request, reason.get(), nowMillis);
    }
    queue.add(request);
    if (queue.size() > MAX_WAITING && queue.firstToReject().equals(request)) {
      queue.remove(request);
      return reject(request, Reason.QUEUE_FULL, nowMillis);
    }
    waitUntilMillis.put(request.id(), waitUntil);
    return new AdmissionDecision.Wait();
  }

  private static long waitUntilMillis(AdmissionRequest request, long nowMillis) {
    // A scoring is retried by this node itself, so rejecting it early gains nothing.
    return request.source() == Source.SCORING
        ? request.deadlineMillis()
        : nowMillis + (request.deadlineMillis() - nowMillis) / WAIT_TIME_LEFT_DIVISOR;
  }

  private boolean hasWaiting(Source source) {
    return queue.size() > 0 && queue.all().stream().anyMatch(each -> each.source() == source);
  }

  /**
   * Returns whether a request may be sent now. Callers may exceed the limit until they use half of
   * the slots, so that scorings can't keep them out.
   */
  private boolean hasSlot(Source source, long nowMillis) {
    return inFlight.size() < limit.current(nowMillis)
        || (source == Source.CALLER && callersInFlight < limit.floor());
  }

  private void start(AdmissionRequest request, long nowMillis) {
    queue.onSent(request, nowMillis);
    inFlight.put(request.id(), request);
    callersInFlight += request.source() == Source.CALLER ? 1 : 0;
  }

  /** Returns the reason to reject a waiting request; empty if it may go on waiting. */
  private Optional<Reason> rejectionReason(
      AdmissionRequest request, long waitUntilMillis, long nowMillis) {
    return rejectionReason(
        request, queue.countAhead(request, nowMillis), waitUntilMillis, nowMillis);
  }

  private Optional<Reason> rejectionReason(
      AdmissionRequest request, int ahead, long waitUntilMillis, long nowMillis) {
    if (limit.slots() == 0) {
      return Optional.of(Reason.NO_SERVER);
    }
    double startMillis = nowMillis + (ahead + 1) * millisPerFreedSlot(nowMillis);
    if (startMillis + expectedWorkMillis(request, nowMillis) > request.deadlineMillis()) {
      return Optional.of(Reason.TOO_LATE);
    }
    if (outlastsNode(request, (long) startMillis)) {
      return Optional.of(Reason.STOPPING);
    }
    return startMillis > Math.min(waitUntilMillis, shutdownWaitUntilMillis)
        ? Optional.of(Reason.TOO_LONG)
        : Optional.empty();
  }

  /**
   * Returns the expected time until a waiting request is sent, or until a new one would be sent if
   * it had to wait.
   */
  public double expectedWaitMillis(AdmissionRequest request, long nowMillis) {
    return (queue.countAhead(request, nowMillis) + 1) * millisPerFreedSlot(nowMillis);
  }

  /** Returns the mean time between two slots becoming free while the limit is used up. */
  private double millisPerFreedSlot(long nowMillis) {
    return responseMillis / Math.max(1, limit.current(nowMillis));
  }

  private double expectedWorkMillis(AdmissionRequest request, long nowMillis) {
    return latencyOf(request, nowMillis).map(RouteLatency::smoothedMillis).orElse(0.0);
  }

  /** Returns the recent response times of a request's route; empty if there are none. */
  private Optional<RouteLatency> latencyOf(AdmissionRequest request, long nowMillis) {
    return Optional.ofNullable(latencies.get(request.route()))
        .filter(known -> !known.isIdle(nowMillis));
  }

  /**
   * Returns whether a caller's request that starts at a time might still run when this node ends:
   * if it takes as long as the longest recent one, or its whole time where none is known. Late in
   * the shutdown its whole time counts, whatever earlier ones took: work may suddenly take longer.
   */
  private boolean outlastsNode(AdmissionRequest request, long startMillis) {
    if (shutdownEndMillis == Long.MAX_VALUE || request.source() != Source.CALLER) {
      return false;
    }
    if (startMillis >= shutdownLateMillis) {
      return request.deadlineMillis() > shutdownEndMillis;
    }
    long endMillis =
        latencyOf(request, startMillis)
            .map(known -> startMillis + known.longestMillis())
            .orElse(request.deadlineMillis());
    return Math.min(endMillis, request.deadlineMillis()) > shutdownEndMillis;
  }

  private Reject reject(AdmissionRequest request, Reason reason, long nowMillis) {
    if (reason == Reason.STOPPING) {
      // The other nodes can take the request at once.
      return new Reject(reason, 0);
    }
    return new Reject(reason, retryAfterMillis(request, nowMillis));
  }

  /** Returns the time after which the caller of a request that was not run may retry. */
  public long retryAfterMillis(AdmissionRequest request, long nowMillis) {
    long left = request.deadlineMillis() - nowMillis;
    if (request.source() == Source.SCORING) {
      // This node itself retries, and a training step waits for its last scoring.
      return retryAfter.delayMillis(0, 0, left);
    }
    // An outage is expected to last about as long again as it has lasted.
    double drainMillis =
        limit.slots() == 0
            ? Math.min(MAX_OUTAGE_RETRY_MILLIS, nowMillis - lastServerAtMillis)
            : queue.size() * millisPerFreedSlot(nowMillis);
    return retryAfter.delayMillis(drainMillis, request.priority(), left);
  }

  /**
   * Returns the time after which the caller of a request may retry if nothing tells when its
   * service will be available again: the longest that callers wait, as no earlier time is better.
   */
  public long retryAfterWithoutKnownEndMillis(AdmissionRequest request, long nowMillis) {
    long left = request.deadlineMillis() - nowMillis;
    return request.source() == Source.SCORING
        ? retryAfterMillis(request, nowMillis)
        : retryAfter.delayMillis((double) left, request.priority(), left);
  }

  /** Records a successful response of a server. */
  public void onResponse(AdmissionRequest request, long tookMillis, long nowMillis) {
    latencies.values().removeIf(each -> each.isIdle(nowMillis));
    double ratio =
        latencies
            .computeIfAbsent(request.route(), route -> new RouteLatency())
            .onResponse(tookMillis, nowMillis);
    responseMillis += RESPONSE_WEIGHT * (tookMillis - responseMillis);
    boolean isInUse = inFlight.size() >= limit.current(nowMillis);
    limit.onResponse(ratio, isInUse, nowMillis);
  }

  /** Records that a server refused a request because it is full. */
  public void onServerFull(long nowMillis) {
    limit.onFull(nowMillis);
  }

  /**
   * Removes a request that has ended or whose caller has disconnected, whether it was sent or
   * waits.
   */
  public void onEnded(AdmissionRequest request) {
    if (inFlight.remove(request.id()) != null) {
      callersInFlight -= request.source() == Source.CALLER ? 1 : 0;
    } else if (waitUntilMillis.remove(request.id()) != null) {
      queue.remove(request);
    }
  }

  /**
   * Decides which waiting requests are sent now and which are rejected. Call it when a request has
   * ended, when servers have changed, and every {@link #SWEEP_INTERVAL_MILLIS} while requests wait.
   */
  public List<WaitingDecision> decideWaiting(long nowMillis) {
    List<WaitingDecision> decisions = new ArrayList<>();
    sendWhileSlotsAreFree(decisions, nowMillis);
    rejectUnservable(decisions, nowMillis);
    return decisions;
  }

  private void sendWhileSlotsAreFree(List<WaitingDecision> decisions, long nowMillis) {
    while (limit.slots() > 0 && queue.size() > 0) {
      Optional<AdmissionRequest> next = queue.poll(source -> hasSlot(source, nowMillis), nowMillis);
      if (next.isEmpty()) {
        return;
      }
      if (outlastsNode(next.get(), nowMillis)) {
        rejectWaiting(next.get(), Reason.STOPPING, decisions, nowMillis);
        continue;
      }
      waitUntilMillis.remove(next.get().id());
      start(next.get(), nowMillis);
      decisions.add(new WaitingDecision(next.get(), new AdmissionDecision.Send()));
    }
  }

  private void rejectUnservable(List<WaitingDecision> decisions, long nowMillis) {
    while (queue.size() > MAX_WAITING) {
      rejectWaiting(queue.firstToReject(), Reason.QUEUE_FULL, decisions, nowMillis);
    }
    if (nowMillis < sweepAtMillis) {
      return;
    }
    sweepAtMillis = nowMillis + SWEEP_INTERVAL_MILLIS;
    for (QueuePosition position : queue.positions(nowMillis)) {
      AdmissionRequest request = position.request();
      long waitUntil = waitUntilMillis.get(request.id());
      // Rejections earlier in this loop shorten the wait of later requests: check again.
      if (rejectionReason(request, position.ahead(), waitUntil, nowMillis).isPresent()) {
        rejectionReason(request, waitUntil, nowMillis)
            .ifPresent(reason -> rejectWaiting(request, reason, decisions, nowMillis));
      }
    }
  }

  private void rejectWaiting(
      AdmissionRequest request, Reason reason, List<WaitingDecision> decisions, long nowMillis) {
    Reject rejection = reject(request, reason, nowMillis);
    queue.remove(request);
    waitUntilMillis.remove(request.id());
    decisions.add(new WaitingDecision(request, rejection));
  }

  /**
   * Limits the wait of requests because the node has begun to shut down, and rejects callers'
   * requests that might not end before it does.
   *
   * @param beginMillis time at which the node began to shut down
   * @param endMillis time at which the node cuts what is in progress
   */
  public void beginShutdown(long beginMillis, long endMillis) {
    shutdownWaitUntilMillis = beginMillis + MAX_WAIT_STOPPING_MILLIS;
    shutdownLateMillis = beginMillis + LATE_SHUTDOWN_MILLIS;
    shutdownEndMillis = endMillis;
  }

  /** Rejects all waiting requests because the node shuts down now. */
  public List<WaitingDecision> rejectAllWaiting(long nowMillis) {
    List<WaitingDecision> decisions = new ArrayList<>();
    queue.all().forEach(request -> rejectWaiting(request, Reason.STOPPING, decisions, nowMillis));
    return decisions;
  }

  /** Returns the current load figures for logs and metrics. */
  public Load load(long nowMillis) {
    return new Load(inFlight.size(), queue.size(), limit.current(nowMillis));
  }
}
