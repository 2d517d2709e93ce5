package org.passhaven.node.gateway;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.passhaven.core.admission.AdmissionDecision.Reject;
import org.passhaven.core.admission.AdmissionRequest.Source;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerHealth;
import org.passhaven.core.eligibility.Ineligibility;
import org.passhaven.core.forward.ForwardPlan;
import org.passhaven.core.forward.ForwardPlan.Outcome;
import org.passhaven.core.request.RateMeter;
import org.passhaven.core.route.Route;
import org.passhaven.core.route.WeightedRoundRobin;
import org.passhaven.node.gateway.ForwardAttempts.Attempt;
import org.passhaven.protocol.member.MemberBeat;
import org.passhaven.protocol.region.RegionRestriction;
import org.passhaven.spi.BackEndService.Answer;
import org.passhaven.spi.BackEndService.Call;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.Timers;

/**
 * Forwards requests to servers, with the retries and hedged attempts that their {@link ForwardPlan}
 * decides. Not thread-safe: used on the node's event loop.
 */
public final class RequestForwarder {
  /** Pause after an attempt that no server ran. */
  private static final long RETRY_PAUSE_MILLIS = 10;

  private static final int SERVER_ERROR_STATUS = 500;
  private static final int MISDIRECTED_STATUS = 421;

  /** Time for which a server that answered 421 (Misdirected Request) is avoided. */
  private static final long MISDIRECTED_AVOIDED_MILLIS = 1_000;

  /** Time for which a server at its capacity is avoided. */
  private static final long FULL_AVOIDED_MILLIS = 50;

  private static final String HELD_BACK_REASON = "servers have ended under it";
  private final GatewayContext context;
  private final PlatformDirectory directory;
  private final CrashTracker crashes;
  private final WeightedRoundRobin rotation;
  private final ServerHealth health = new ServerHealth();
  private final ServerCandidates candidates;
  private final RequestAdmission admission;
  private final ColdTurnQueue coldTurns;
  private final RateMeter requestRate;
  private final RunListener runListener;
  private final AnswerLog answerLog;
  private final Set<Forward> inProgress = new LinkedHashSet<>();

  /** Receives the requests that a server ran or may have run. */
  interface RunListener {
    /** Called once for each request; the time of sending is in monotonic milliseconds. */
    void onRunStarted(String tenant, long sentAtMillis);
  }

  /**
   * Creates a forwarder to the servers of the directory.
   *
   * @param liveNodes returns the live nodes, among which the servers are divided into subsets
   */
  RequestForwarder(
      GatewayContext context,
      PlatformDirectory directory,
      Supplier<List<MemberBeat>> liveNodes,
      CrashTracker crashes,
      RunListener runListener) {
    this.runListener = Objects.requireNonNull(runListener, "runListener");
    this.context = Objects.requireNonNull(context, "context");
    this.directory = Objects.requireNonNull(directory, "directory");
    this.crashes = Objects.requireNonNull(crashes, "crashes");
    this.rotation = new WeightedRoundRobin(context.randomBelow());
    this.candidates = new ServerCandidates(context, directory, health, liveNodes);
    this.admission =
        new RequestAdmission(
            context, directory, name -> directory.candidatesOf(name, RegionRestriction.NONE));
    this.coldTurns = new ColdTurnQueue(context, directory);
    this.requestRate = new RateMeter(context.nowMillis());
    this.answerLog = new AnswerLog(context);
    directory.addListener(
        () ->
            health.retain(
                directory.servers().all().stream()
                    .map(ServerEntry::incarnation)
                    .collect(Collectors.toSet())));
  }

  /** Returns the recent rate of requests per second. */
  public double requestsPerSecond() {
    return requestRate.perSecond(context.nowMillis());
  }

  /** Returns the number of requests in flight. */
  public int inProgress() {
    return inProgress.size();
  }

  /**
   * Forwards a caller's request, whose deadline is relative to now. Cancelling the result cancels
   * all attempts.
   */
  public Uni<ForwardOutcome> forward(Route route, Call call) {
    return forward(route, call, Source.CALLER);
  }

  /** Forwards a request from the given source. */
  Uni<ForwardOutcome> forward(Route route, Call call, Source source) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              Forward forward = new Forward(route, call, source, emitter);
              emitter.onTermination(forward::cancel);
              forward.start();
            });
  }

  /** Fails all requests in progress, so that their callers learn it before the node ends. */
  void failAll(String reason) {
    while (!inProgress.isEmpty()) {
      inProgress.iterator().next().fail(reason);
    }
  }

  /** Returns the admission control of forwarded requests. */
  RequestAdmission admission() {
    return admission;
  }

  private final class Forward implements RequestAdmission.SlotListener, ForwardAttempts.Listener {
    private final Route route;
    private final Call call;
    private final UniEmitter<? super ForwardOutcome> emitter;
    private final ForwardPlan plan;
    private final CrashGuard crashGuard;
    private final String service;
    private final RequestAdmission.Slot slot;
    private final long startedAtMillis = context.nowMillis();
    private final long lostAtStartMillis = lostToClockJumpsMillis();
    private final ForwardAttempts attempts;
    private final RequestLogger log;
    private final long targetAtMillis;
    private Timers.Timer deadlineTimer;
    private Timers.Timer coldTurn;
    private boolean isReportedAsRun;
    private boolean isDone;

    Forward(
        Route route, Call submitted, Source source, UniEmitter<? super ForwardOutcome> emitter) {
      this.route = route;
      this.call =
          submitted.withRestriction(
              submitted
                  .restriction()
                  .and(directory.routes().restrictionOf(route, submitted.tenant())));
      this.emitter = emitter;
      this.plan = new ForwardPlan(route, startedAtMillis + call.deadlineMillis());
      this.crashGuard = new CrashGuard(crashes, call);
      this.service = rotation.next(route);
      this.slot = admission.newSlot(route, call, service, source, plan.deadlineMillis());
      this.attempts = new ForwardAttempts(context, health, call, plan, this);
      this.log = new RequestLogger(context, directory, route, call, service, startedAtMillis);
      this.targetAtMillis = startedAtMillis + route.targetMillis();
    }

    void start() {
      inProgress.add(this);
      requestRate.recordEvent(context.nowMillis());
      deadlineTimer = context.timers().after(call.deadlineMillis(), this::onDeadline);
      // Admission doesn't know regions, so it might let the request wait.
      if (call.restriction().isRestricted() && exclusion().isPresent()) {
        fail(exclusionOr("no server"));
      } else {
        slot.acquire(this);
      }
    }

    /** Returns why no server of the service may serve the request; empty if one may. */
    private Optional<Ineligibility> exclusion() {
      return directory.exclusionOf(service, call.restriction());
    }

    private String exclusionOr(String otherReason) {
      return exclusion().map(Ineligibility::text).orElse(otherReason);
    }

    @Override
    public void onAdmitted() {
      if (!tryNext()) {
        failWithoutServer(
            plan.hasTimeForAttempt(context.nowMillis()) ? "no server" : "too little time is left");
      }
    }

    @Override
    public void onRejected(Reject rejection) {
      fail(exclusionOr(rejection.reason().text()));
    }

    /** Sends the request to the next server; returns false if no attempt is in progress. */
    private boolean tryNext() {
      if (isDone || crashGuard.isClaiming()) {
        return true;
      }
      updateUncountedTime();
      if (!crashGuard.mayRun(plan.inProgress() > 0, this::onTrialClaimed)) {
        return crashGuard.isClaiming() || plan.inProgress() > 0;
      }
      List<ServerEntry> servers = candidates.of(service, call.restriction(), plan);
      Optional<ServerEntry> server =
          plan.nextServer(servers, candidates.picker(), context.nowMillis());
      if (server.isEmpty()) {
        return plan.inProgress() > 0 || (servers.isEmpty() && awaitColdTurn());
      }
      if (!candidates.isInRegion(server.get())) {
        log.onRegionLeft(
            server.get(), () -> candidates.describeRegion(service, call.restriction(), plan));
      }
      attempts.send(server.get(), plan.inProgress() > 1);
      return true;
    }

    /** Waits for a turn at a cold server; returns false if there is none within the objective. */
    private boolean awaitColdTurn() {
      long latestMillis = Math.min(targetAtMillis, plan.latestAttemptMillis(context.nowMillis()));
      Optional<Timers.Timer> turn =
          coldTurns.await(service, call.restriction(), latestMillis, this::tryNextOrFail);
      turn.ifPresent(timer -> coldTurn = timer);
      return turn.isPresent();
    }

    private void updateUncountedTime() {
      plan.onUncountedTime(lostToClockJumpsMillis() - lostAtStartMillis);
    }

    private void onTrialClaimed() {
      if (isDone) {
        crashGuard.close(false);
      } else if (!crashGuard.isInTrial() || !tryNext()) {
        failWithoutServer("no other server");
      }
    }

    @Override
    public void onHedgeDue(ServerEntry server) {
      log.onHedgeDue(server);
      tryNext();
    }

    @Override
    public void onAnswer(Attempt attempt, Answer answer) {
      ServerEntry server = attempt.server();
      long sentAtMillis = attempt.sentAtMillis();
      long now = context.nowMillis();
      Outcome outcome = classify(answer);
      if (outcome != Outcome.NOT_RUN) {
        reportRunOnce(sentAtMillis);
      }
      if (outcome == Outcome.SUCCESS) {
        health.onSuccess(server.incarnation(), now - sentAtMillis, now);
        slot.onAnswer(now - sentAtMillis);
      } else if (outcome == Outcome.NOT_RUN) {
        onNotRun(server, answer.status() != MISDIRECTED_STATUS);
      }
      if (outcome != Outcome.SUCCESS) {
        log.onAttemptFailed(server, outcome, "status " + answer.status());
      }
      crashGuard.onAnswered(outcome);
      continueAfter(outcome, attempt, answer);
    }

    private void onNotRun(ServerEntry server, boolean isFull) {
      long avoidedMillis = isFull ? FULL_AVOIDED_MILLIS : MISDIRECTED_AVOIDED_MILLIS;
      health.avoid(server.incarnation(), avoidedMillis, context.nowMillis());
      if (isFull) {
        slot.onFull();
      }
    }

    @Override
    public void onFailure(ServerEntry server, PlatformException failure, long sentAtMillis) {
      if (failure.kind() == PlatformException.Kind.ANSWER_DROPPED) {
        onAnswerDropped(server, failure, sentAtMillis);
        return;
      }
      if (failure.kind() == PlatformException.Kind.ANSWER_TOO_LARGE) {
        onAnswerTooLarge(server, failure, sentAtMillis);
        return;
      }
      boolean heldBack = failure.kind() == PlatformException.Kind.HELD_BACK;
      if (heldBack) {
        health.avoid(server.incarnation(), FULL_AVOIDED_MILLIS, context.nowMillis());
      } else {
        health.onFailure(server.incarnation(), context.nowMillis());
      }
      boolean notRun = heldBack || failure.kind() == PlatformException.Kind.NOT_RUN;
      Outcome outcome = notRun ? Outcome.NOT_RUN : Outcome.UNKNOWN;
      log.onAttemptFailed(server, outcome, failure.getMessage());
      if (notRun) {
        continueAfter(outcome);
        return;
      }
      reportRunOnce(sentAtMillis);
      crashGuard.onOutcomeUnknown(server).subscribe().with(ignored -> continueAfter(outcome));
    }

    /**
     * Fails a request whose answer did not fit into this node's buffers. It is not retried, since
     * the next answer would not fit either.
     */
    private void onAnswerDropped(ServerEntry server, PlatformException failure, long sentAtMillis) {
      log.onAttemptFailed(server, Outcome.UNKNOWN, failure.getMessage());
      reportRunOnce(sentAtMillis);
      crashGuard.onAnswered(Outcome.UNKNOWN);
      if (!isDone) {
        plan.onEnded(Outcome.UNKNOWN, context.nowMillis());
        fail("no room for the answer");
      }
    }

    /**
     * Treats an answer that no node could hold as the failure of its server, which may answer
     * without end; the server runs, so it is not asked whether it has crashed.
     */
    private void onAnswerTooLarge(
        ServerEntry server, PlatformException failure, long sentAtMillis) {
      health.onFailure(server.incarnation(), context.nowMillis());
      log.onAttemptFailed(server, Outcome.UNKNOWN, failure.getMessage());
      reportRunOnce(sentAtMillis);
      crashGuard.onAnswered(Outcome.UNKNOWN);
      continueAfter(Outcome.UNKNOWN);
    }

    /** Reports that a server ran or may have run the request; only the first call has an effect. */
    private void reportRunOnce(long sentAtMillis) {
      if (!isReportedAsRun) {
        isReportedAsRun = true;
        runListener.onRunStarted(call.tenant(), sentAtMillis);
      }
    }

    /** Continues after an attempt without an answer. */
    private void continueAfter(Outcome outcome) {
      continueAfter(outcome, null, null);
    }

    private void continueAfter(Outcome outcome, Attempt attempt, Answer answer) {
      if (isDone) {
        return;
      }
      updateUncountedTime();
      switch (plan.onEnded(outcome, context.nowMillis())) {
        case DELIVER -> deliver(attempt, answer);
        case TRY_NEXT -> context.timers().after(backoffMillis(outcome), this::tryNextOrFail);
        case GIVE_UP -> fail("attempts used up");
        case WAIT -> {}
      }
    }

    private void deliver(Attempt attempt, Answer answer) {
      answerLog.onDelivered(
          route,
          call,
          answer,
          new AnswerLog.Attempts(attempt, attempts.attemptsSent(), plan.inProgress()),
          context.nowMillis() - startedAtMillis);
      finish(new ForwardOutcome.Answered(answer, plan.serverErrors()));
    }

    private long backoffMillis(Outcome outcome) {
      return outcome == Outcome.NOT_RUN ? RETRY_PAUSE_MILLIS : 1;
    }

    private void tryNextOrFail() {
      if (!isDone && !tryNext()) {
        failWithoutServer("no other server");
      }
    }

    private void onDeadline() {
      if (!isDone) {
        fail("time is over");
      }
    }

    private void failWithoutServer(String otherReason) {
      if (crashGuard.isHeldBack()) {
        context.metrics().requestsHeldBack.increment();
      }
      fail(crashGuard.isHeldBack() ? HELD_BACK_REASON : exclusionOr(otherReason));
    }

    private long retryAfterMillis() {
      long untilTrialMillis =
          crashGuard.isHeldBack() ? crashGuard.heldUntilMillis() - context.nowMillis() : 0;
      long untilServerMillis =
          exclusion().isPresent()
              ? slot.retryAfterWithoutKnownEndMillis()
              : slot.retryAfterMillis();
      return Math.max(untilServerMillis, untilTrialMillis);
    }

    private void fail(String reason) {
      boolean timedOut = context.nowMillis() >= plan.deadlineMillis();
      ForwardOutcome outcome =
          plan.hasDefinitelyNotRun()
              ? new ForwardOutcome.NotRun(reason, retryAfterMillis())
              : new ForwardOutcome.Unknown(reason, timedOut, plan.serverErrors());
      log.onFailed(outcome, attempts.attemptsSent(), reason);
      finish(outcome);
    }

    private void finish(ForwardOutcome outcome) {
      context.metrics().onRequest(outcome, context.nowMillis() - startedAtMillis);
      emitter.complete(outcome);
      cancel();
    }

    private void cancel() {
      if (isDone) {
        return;
      }
      isDone = true;
      inProgress.remove(this);
      crashGuard.close(attempts.isInProgress());
      deadlineTimer.cancel();
      if (coldTurn != null) {
        coldTurn.cancel();
      }
      attempts.cancel();
      slot.release();
    }
  }

  private long lostToClockJumpsMillis() {
    return context.timers().clockJumps().lostMillis();
  }

  private static Outcome classify(Answer answer) {
    if (answer.notRun()) {
      return Outcome.NOT_RUN;
    } else if (answer.isSuccess()) {
      return Outcome.SUCCESS;
    }
    if (answer.status() == SERVER_ERROR_STATUS) {
      return Outcome.SERVER_ERROR;
    }
    return answer.status() > SERVER_ERROR_STATUS ? Outcome.OTHER_SERVER_ERROR : Outcome.FINAL;
  }
}
