package org.passhaven.node.gateway;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.Cancellable;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
import org.passhaven.spi.BackEndService;
import org.passhaven.spi.BackEndService.Answer;
import org.passhaven.spi.BackEndService.Call;
import org.passhaven.spi.BackEndService.Target;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/** Brings requests to servers as their {@link ForwardPlan} decides. */
public final class RequestForwarder {
  private static final Logger LOG = LoggerFactory.getLogger(RequestForwarder.class);
  private static final long RETRY_PAUSE_MILLIS = 10;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int MISDIRECTED = 421;
  private static final long MISDIRECTED_AVOIDED_MILLIS = 1_000;
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

  /** Hears of requests that servers began to run. */
  interface RunListener {
    /** A request of a tenant, sent at a moment of the steady clock, has begun to run. */
    void onBegan(String tenant, long sentAtMillis);
  }

  /**
   * Creates a forwarder to the servers of the directory.
   *
   * @param liveNodes nodes among which servers are shared out
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

  /** Requests that lately came, a second. */
  public double requestsPerSecond() {
    return rate.perSecond(context.now());
  }

  /** Requests that are being forwarded. */
  public int inProgress() {
    return inProgress;
  }

  /**
   * Forwards a caller's request; its deadline is the time that is left for it. Cancelling closes
   * the connections to servers.
   */
  public Uni<ForwardOutcome> forward(Route route, Call call) {
    return forward(route, call, Source.CALLER);
  }

  /** Forwards a request of a source. */
  Uni<ForwardOutcome> forward(Route route, Call call, Source source) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              Forward forward = new Forward(route, call, source, emitter);
              emitter.onTermination(forward::cancel);
              forward.begin();
            });
  }

  /** Whether requests are sent, wait or are rejected. */
  RequestAdmission admission() {
    return admission;
  }

  private final class Forward implements RequestAdmission.Asker {
    private final Route route;
    private final Call call;
    private final UniEmitter<? super ForwardOutcome> emitter;
    private final ForwardPlan plan;
    private final ForwardGate gate;
    private final String service;
    private final RequestAdmission.Place place;
    private final long beganAt = context.now();
    private final long lostAtBegin = lostMillis();
    private final Map<Integer, Cancellable> attempts = new HashMap<>();
    private final List<Timers.Timer> hedges = new ArrayList<>(2);
    private Timers.Timer deadline;
    private int nextAttempt;
    private String lastReason = "";
    private boolean hasBegun;
    private boolean done;

    Forward(Route route, Call call, Source source, UniEmitter<? super ForwardOutcome> emitter) {
      this.route = route;
      this.call = call;
      this.emitter = emitter;
      this.plan = new ForwardPlan(route, beganAt + call.deadlineMillis());
      this.gate = new ForwardGate(crashes, call);
      this.service = rotation.next(route);
      this.place = admission.place(route, call, service, source, plan.deadlineMillis());
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

    /** Sends the request to the next server; false if nothing is under way. */
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
      send(server.get(), plan.inProgress() > 1);
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

    /**
     * Sends the request. An attempt beside another one that is silent goes over a new connection:
     * where kept ones have gone silent, both would else share their fate.
     */
    private void send(ServerEntry server, boolean isBeside) {
      int attempt = nextAttempt++;
      long sentAt = context.now();
      health.onSent(server.start());
      Call left =
          new Call(
              call.id(),
              call.tenant(),
              call.method(),
              call.uri(),
              call.host(),
              call.headers(),
              call.body(),
              Math.max(1, plan.leftMillis(sentAt)));
      Target target = ServerTargets.of(server);
      BackEndService backEnds = context.backEnds();
      Cancellable sending =
          (isBeside ? backEnds.callAnew(target, left) : backEnds.call(target, left))
              .onTermination()
              .invoke(() -> health.onEnded(server.start()))
              .subscribe()
              .with(
                  answer -> onAnswer(attempt, server, answer, sentAt),
                  failure -> onFailure(attempt, server, PlatformException.from(failure), sentAt));
      if (!done) {
        attempts.put(attempt, sending);
      }
      plan.hedgeAfterMillis()
          .ifPresent(
              after -> hedges.add(context.timers().after(after, () -> hedge(attempt, server))));
    }

    private void hedge(int attempt, ServerEntry server) {
      if (!done && attempts.containsKey(attempt)) {
        LOG.atDebug()
            .addKeyValue("request", call.id())
            .addKeyValue("server", server.start())
            .log("request: silent server, another one is asked");
        tryNext();
      }
    }

    private void onAnswer(int attempt, ServerEntry server, Answer answer, long sentAt) {
      attempts.remove(attempt);
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
        logAttempt(server, outcome, "status " + answer.status());
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

    private void onFailure(
        int attempt, ServerEntry server, PlatformException failure, long sentAt) {
      attempts.remove(attempt);
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
      logAttempt(server, outcome, failure.getMessage());
      if (notRun) {
        decide(outcome, null);
        return;
      }
      noteBegun(sentAt);
      gate.onBroken(server).subscribe().with(ignored -> decide(outcome, null));
    }

    /**
     * A server ran it, and there was no room for the answer. Another attempt would run it once more
     * for an answer that has no room either.
     */
    private void onAnswerDropped(ServerEntry server, PlatformException failure, long sentAt) {
      logAttempt(server, Outcome.UNKNOWN, failure.getMessage());
      noteBegun(sentAt);
      gate.onAnswered(Outcome.UNKNOWN);
      if (!done) {
        plan.onEnded(Outcome.UNKNOWN, context.now());
        giveUp("no room for the answer");
      }
    }

    /** A request counts once, however many servers ran it. */
    private void noteBegun(long sentAtMillis) {
      if (!hasBegun) {
        hasBegun = true;
        runs.onBegan(call.tenant(), sentAtMillis);
      }
    }

    private void logAttempt(ServerEntry server, Outcome outcome, String reason) {
      context.metrics().attemptsFailed.increment();
      lastReason = reason;
      // While no server of a service is up, refused connections come by the hundred a second.
      LOG.atLevel(outcome == Outcome.NOT_RUN ? Level.DEBUG : Level.INFO)
          .addKeyValue("request", call.id())
          .addKeyValue("route", route.name())
          .addKeyValue("path", path())
          .addKeyValue("server", server.start())
          .addKeyValue("outcome", outcome)
          .addKeyValue("reason", reason)
          .addKeyValue("afterMillis", context.now() - beganAt)
          .log("request: attempt failed");
    }

    /** Path without its query, by which repeats of one request are told in the log. */
    private String path() {
      int query = call.uri().indexOf('?');
      return query < 0 ? call.uri() : call.uri().substring(0, query);
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
      LOG.atInfo()
          .addKeyValue("request", call.id())
          .addKeyValue("route", route.name())
          .addKeyValue("service", service)
          .addKeyValue("ready", directory.servers().readyOf(service).size())
          .addKeyValue("configuration", directory.routes().version())
          .addKeyValue("attempts", nextAttempt)
          .addKeyValue("outcome", outcome.getClass().getSimpleName())
          .addKeyValue("reason", reason)
          .addKeyValue("lastAttempt", lastReason)
          .addKeyValue("tookMillis", context.now() - beganAt)
          .log("request: given up");
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
      gate.close(!attempts.isEmpty());
      deadline.cancel();
      // A timer that waits on would keep the request's body in memory.
      hedges.forEach(Timers.Timer::cancel);
      List<Cancellable> running = List.copyOf(attempts.values());
      attempts.clear();
      running.forEach(Cancellable::cancel);
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
