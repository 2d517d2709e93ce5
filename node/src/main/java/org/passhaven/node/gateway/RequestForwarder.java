package org.passhaven.node.gateway;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.passhaven.core.admission.AdmissionRequest.Source;
import org.passhaven.core.admission.AdmissionVerdict.Reject;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerHealth;
import org.passhaven.core.forward.ForwardPlan;
import org.passhaven.core.forward.ForwardPlan.Outcome;
import org.passhaven.core.request.RateMeter;
import org.passhaven.core.route.Route;
import org.passhaven.core.route.ShareRotation;
import org.passhaven.protocol.member.MemberBeat;
import org.passhaven.spi.BackEndService.Answer;
import org.passhaven.spi.BackEndService.Call;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.Timers;

/**
 * Forwards requests to servers, with the retries and hedged attempts that their {@link ForwardPlan}
 * decides. Not thread-safe: used on the node's event loop.
 */
public final class RequestForwarder {
  /** Backoff after an attempt that no server ran. */
  private static final long RETRY_PAUSE_MILLIS = 10;

  private static final int FIRST_SERVER_ERROR = 500;
  private static final int MISDIRECTED = 421;

  /** Time for which a server that answered 421 (Misdirected Request) is avoided. */
  private static final long MISDIRECTED_AVOIDED_MILLIS = 1_000;

  /** Time for which a server at its capacity is avoided. */
  private static final long FULL_AVOIDED_MILLIS = 50;

  private static final String HELD_BACK = "servers have ended under it";
  private final GatewayContext context;
  private final Directory directory;
  private final CrashLog crashes;
  private final ShareRotation rotation;
  private final ServerHealth health = new ServerHealth();
  private final ServerCandidates candidates;
  private final RequestAdmission admission;
  private final RateMeter rate;
  private final RunListener runs;
  private int inProgress;

  /** Receives the requests that servers began to run. */
  interface RunListener {
    /** Called once for each request; the time of sending is in monotonic milliseconds. */
    void onBegan(String tenant, long sentAtMillis);
  }

  /**
   * Creates a forwarder to the servers of the directory.
   *
   * @param liveNodes returns the live nodes, among which the servers are divided into subsets
   */
  RequestForwarder(
      GatewayContext context,
      Directory directory,
      Supplier<List<MemberBeat>> liveNodes,
      CrashLog crashes,
      RunListener runs) {
    this.runs = Objects.requireNonNull(runs, "runs");
    this.context = Objects.requireNonNull(context, "context");
    this.directory = Objects.requireNonNull(directory, "directory");
    this.crashes = Objects.requireNonNull(crashes, "crashes");
    this.rotation = new ShareRotation(context.randomBelow());
    this.candidates = new ServerCandidates(context, directory, health, liveNodes);
    this.admission = new RequestAdmission(context, directory, directory.servers()::readyOf);
    this.rate = new RateMeter(context.now());
    directory.addListener(
        () ->
            health.retain(
                directory.servers().all().stream()
                    .map(ServerEntry::start)
                    .collect(Collectors.toSet())));
  }

  /** Returns the recent rate of requests per second. */
  public double requestsPerSecond() {
    return rate.perSecond(context.now());
  }

  /** Returns the number of requests in flight. */
  public int inProgress() {
    return inProgress;
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
              forward.begin();
            });
  }

  /** Returns the admission control of forwarded requests. */
  RequestAdmission admission() {
    return admission;
  }

  private final class Forward implements RequestAdmission.PlaceListener, ForwardAttempts.Listener {
    private final Call call;
    private final UniEmitter<? super ForwardOutcome> emitter;
    private final ForwardPlan plan;
    private final ForwardGate gate;
    private final String service;
    private final RequestAdmission.Place place;
    private final long beganAt = context.now();
    private final long lostAtBegin = lostMillis();
    private final ForwardAttempts attempts;
    private final ForwardLog log;
    private Timers.Timer deadline;
    private boolean hasBegun;
    private boolean done;

    Forward(Route route, Call call, Source source, UniEmitter<? super ForwardOutcome> emitter) {
      this.call = call;
      this.emitter = emitter;
      this.plan = new ForwardPlan(route, beganAt + call.deadlineMillis());
      this.gate = new ForwardGate(crashes, call);
      this.service = rotation.next(route);
      this.place = admission.place(route, call, service, source, plan.deadlineMillis());
      this.attempts = new ForwardAttempts(context, health, call, plan, this);
      this.log = new ForwardLog(context, directory, route, call, service, beganAt);
    }

    void begin() {
      inProgress++;
      rate.mark(context.now());
      deadline = context.timers().after(call.deadlineMillis(), this::onDeadline);
      place.ask(this);
    }

    @Override
    public void onSend() {
      if (!tryNext()) {
        giveUpUnsent(plan.hasTimeLeft(context.now()) ? "no server" : "too little time is left");
      }
    }

    @Override
    public void onReject(Reject verdict) {
      giveUp(verdict.reason().text());
    }

    /** Sends the request to the next server; returns false if no attempt is in progress. */
    private boolean tryNext() {
      if (done || gate.isClaiming()) {
        return true;
      }
      noteTimeLost();
      if (!gate.mayRun(plan.inProgress() > 0, this::onTrialClaimed)) {
        return gate.isClaiming() || plan.inProgress() > 0;
      }
      List<ServerEntry> servers = candidates.of(service, plan);
      Optional<ServerEntry> server = plan.next(servers, candidates.picker(), context.now());
      if (server.isEmpty()) {
        return plan.inProgress() > 0;
      }
      attempts.send(server.get(), plan.inProgress() > 1);
      return true;
    }

    private void noteTimeLost() {
      plan.onTimeLost(lostMillis() - lostAtBegin);
    }

    private void onTrialClaimed() {
      if (done) {
        gate.close(false);
      } else if (!gate.isInTrial() || !tryNext()) {
        giveUpUnsent("no other server");
      }
    }

    @Override
    public void onSilent(ServerEntry server) {
      log.onSilent(server);
      tryNext();
    }

    @Override
    public void onAnswer(ServerEntry server, Answer answer, long sentAt) {
      long now = context.now();
      Outcome outcome = classify(answer);
      if (outcome != Outcome.NOT_RUN) {
        noteBegun(sentAt);
      }
      if (outcome == Outcome.SUCCESS) {
        health.onSuccess(server.start(), now - sentAt, now);
        place.onAnswer(now - sentAt);
      } else if (outcome == Outcome.NOT_RUN) {
        onNotRun(server, answer.status() != MISDIRECTED);
      }
      if (outcome != Outcome.SUCCESS) {
        log.onAttemptFailed(server, outcome, "status " + answer.status());
      }
      gate.onAnswered(outcome);
      decide(outcome, answer);
    }

    private void onNotRun(ServerEntry server, boolean isFull) {
      long avoided = isFull ? FULL_AVOIDED_MILLIS : MISDIRECTED_AVOIDED_MILLIS;
      health.avoid(server.start(), avoided, context.now());
      if (isFull) {
        place.onFull();
      }
    }

    @Override
    public void onFailure(ServerEntry server, PlatformException failure, long sentAt) {
      if (failure.kind() == PlatformException.Kind.ANSWER_DROPPED) {
        onAnswerDropped(server, failure, sentAt);
        return;
      }
      boolean heldBack = failure.kind() == PlatformException.Kind.HELD_BACK;
      if (heldBack) {
        health.avoid(server.start(), FULL_AVOIDED_MILLIS, context.now());
      } else {
        health.onFailure(server.start(), context.now());
      }
      boolean notRun = heldBack || failure.kind() == PlatformException.Kind.NOT_RUN;
      Outcome outcome = notRun ? Outcome.NOT_RUN : Outcome.UNKNOWN;
      log.onAttemptFailed(server, outcome, failure.getMessage());
      if (notRun) {
        decide(outcome, null);
        return;
      }
      noteBegun(sentAt);
      gate.onBroken(server).subscribe().with(ignored -> decide(outcome, null));
    }

    /**
     * Fails a request whose answer did not fit into this node's buffers. It is not retried, since
     * the next answer would not fit either.
     */
    private void onAnswerDropped(ServerEntry server, PlatformException failure, long sentAt) {
      log.onAttemptFailed(server, Outcome.UNKNOWN, failure.getMessage());
      noteBegun(sentAt);
      gate.onAnswered(Outcome.UNKNOWN);
      if (!done) {
        plan.onEnded(Outcome.UNKNOWN, context.now());
        giveUp("no room for the answer");
      }
    }

    /** Reports the request as run, once for all attempts. */
    private void noteBegun(long sentAtMillis) {
      if (!hasBegun) {
        hasBegun = true;
        runs.onBegan(call.tenant(), sentAtMillis);
      }
    }

    private void decide(Outcome outcome, Answer answer) {
      if (done) {
        return;
      }
      noteTimeLost();
      switch (plan.onEnded(outcome, context.now())) {
        case DELIVER -> finish(new ForwardOutcome.Answered(answer, plan.serverErrors()));
        case TRY_NEXT -> context.timers().after(pauseAfter(outcome), this::tryNextOrGiveUp);
        case GIVE_UP -> giveUp("attempts used up");
        case WAIT -> {}
      }
    }

    private long pauseAfter(Outcome outcome) {
      return outcome == Outcome.NOT_RUN ? RETRY_PAUSE_MILLIS : 1;
    }

    private void tryNextOrGiveUp() {
      if (!done && !tryNext()) {
        giveUpUnsent("no other server");
      }
    }

    private void onDeadline() {
      if (!done) {
        giveUp("time is over");
      }
    }

    private void giveUpUnsent(String otherwise) {
      if (gate.isHeld()) {
        context.metrics().requestsHeldBack.increment();
      }
      giveUp(gate.isHeld() ? HELD_BACK : otherwise);
    }

    private long retryAfterMillis() {
      long untilTrial = gate.isHeld() ? gate.heldUntilMillis() - context.now() : 0;
      return Math.max(place.retryAfterMillis(), untilTrial);
    }

    private void giveUp(String reason) {
      boolean timedOut = context.now() >= plan.deadlineMillis();
      ForwardOutcome outcome =
          plan.hasSurelyNotRun()
              ? new ForwardOutcome.NotRun(reason, retryAfterMillis())
              : new ForwardOutcome.Unknown(reason, timedOut, plan.serverErrors());
      log.onGivenUp(outcome, attempts.begun(), reason);
      finish(outcome);
    }

    private void finish(ForwardOutcome outcome) {
      context.metrics().onRequest(outcome, context.now() - beganAt);
      emitter.complete(outcome);
      cancel();
    }

    private void cancel() {
      if (done) {
        return;
      }
      done = true;
      inProgress--;
      gate.close(attempts.isRunning());
      deadline.cancel();
      attempts.cancel();
      place.release();
    }
  }

  private long lostMillis() {
    return context.timers().clockGaps().lostMillis();
  }

  private static Outcome classify(Answer answer) {
    if (answer.notRun()) {
      return Outcome.NOT_RUN;
    } else if (answer.isSuccess()) {
      return Outcome.SUCCESS;
    }
    return answer.status() >= FIRST_SERVER_ERROR ? Outcome.SERVER_ERROR : Outcome.FINAL;
  }
}
