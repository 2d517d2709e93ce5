package org.passhaven.node.request;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import org.passhaven.core.configuration.CallerSettings;
import org.passhaven.core.configuration.ConfigurationSnapshot;
import org.passhaven.core.configuration.ServiceSettings;
import org.passhaven.core.configuration.ServiceSettings.RequestClass;
import org.passhaven.core.request.RateLimiter;
import org.passhaven.core.request.RetryBudget;
import org.passhaven.core.routing.ServicePicker;
import org.passhaven.core.routing.ServiceView;
import org.passhaven.node.NodeContext;
import org.passhaven.node.backend.ServiceDirectory;
import org.passhaven.protocol.MemberState;
import org.passhaven.protocol.PeerRequest;
import org.passhaven.protocol.PeerResponse;
import org.passhaven.protocol.ServerId;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.ServiceBackEnd;
import org.passhaven.spi.ServiceBackEnd.Response;

/**
 * Carries callers' requests to service servers.
 *
 * <p>A request is sent again only if it is known not to have run, or may be repeated; and only
 * while the retry budget of its service lasts. A non-repeatable request with a key is sent only
 * after its intent is durable; one without a key is sent to at most one server that may have run
 * it.
 */
public final class RequestService {
  private static final int RETRY_PARTS_PER_REQUEST = 100;
  private static final int MOST_RETRIES_SAVED = 20;
  private static final long NO_SERVER_RETRY_MILLIS = 500;
  private static final long OVERLOAD_RETRY_MILLIS = 1_000;
  private static final int MOST_CARRIED_REMEMBERED = 2_000;
  private static final long LEAST_ATTEMPT_MILLIS = 100;
  private static final long ATTEMPT_SHARE = 4;
  private static final long IDLE_CHECK_MILLIS = 10_000;
  private static final int MOST_OUTSTANDING_PER_SERVER = 256;

  /**
   * One request of a caller.
   *
   * @param caller name for limits; empty if it gave none
   * @param deadlineMillis longest time to an answer; 0 for the service's own
   */
  public record CallerRequest(
      String service, ServiceBackEnd.Request request, String caller, long deadlineMillis) {}

  private final NodeContext context;
  private final ServiceDirectory servers;
  private final Supplier<ConfigurationSnapshot> configuration;
  private final KeyedRequests keyed;
  private final Map<String, RetryBudget> budgets = new HashMap<>();
  private final Map<String, Limit> limits = new HashMap<>();
  private final Map<String, Uni<PeerResponse>> carried =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Uni<PeerResponse>> eldest) {
          return size() > MOST_CARRIED_REMEMBERED;
        }
      };
  private int inProgress;
  private boolean stopping;

  /** Creates the service over the configuration in force. */
  public RequestService(
      NodeContext context,
      ServiceDirectory servers,
      Supplier<ConfigurationSnapshot> configuration,
      Supplier<List<MemberState>> alive) {
    this.context = Objects.requireNonNull(context, "context");
    this.servers = Objects.requireNonNull(servers, "servers");
    this.configuration = Objects.requireNonNull(configuration, "configuration");
    this.keyed = new KeyedRequests(context, alive, this::attempt);
  }

  /** Begins to look after the streams of intents. */
  public void start() {
    context.timers().every(IDLE_CHECK_MILLIS, keyed::closeIdle);
  }

  /** Takes no new requests from now on. */
  public void stopAccepting() {
    stopping = true;
  }

  /** Requests that are being carried. */
  public int inProgress() {
    return inProgress;
  }

  /** Carries one request; never fails. */
  public Uni<RequestOutcome> call(CallerRequest caller) {
    ServiceSettings settings = configuration.get().services().get(caller.service());
    Optional<RequestOutcome> refusal = admit(caller, settings);
    if (refusal.isPresent()) {
      return Uni.createFrom().item(refusal.get()).invoke(this::count);
    }
    inProgress++;
    long limit =
        caller.deadlineMillis() <= 0
            ? settings.deadlineMillis()
            : Math.min(caller.deadlineMillis(), settings.deadlineMillis());
    RequestCall call =
        new RequestCall(caller, settings, context.timers().nowMillis() + limit, false);
    Uni<RequestOutcome> outcome = call.needsIntent() ? keyed.carry(call) : attempt(call);
    return outcome.invoke(
        result -> {
          inProgress--;
          count(result);
        });
  }

  private void count(RequestOutcome outcome) {
    if (outcome instanceof RequestOutcome.Answered) {
      context.metrics().requestsAnswered.increment();
    } else if (outcome instanceof RequestOutcome.RefusedNotRun) {
      context.metrics().requestsRefused.increment();
    } else {
      context.metrics().requestsUnknown.increment();
    }
  }

  private Optional<RequestOutcome> admit(CallerRequest caller, ServiceSettings settings) {
    if (settings == null) {
      return refuse("no service " + caller.service() + " in the configuration", 0);
    }
    if (stopping) {
      return refuse("this node is stopping", NO_SERVER_RETRY_MILLIS);
    }
    long wait = limitFor(caller.caller());
    if (wait > 0) {
      return refuse("over the limit of caller " + caller.caller(), wait);
    }
    List<ServiceView> views = servers.views(settings.serverGroup());
    int outstanding = views.stream().mapToInt(ServiceView::outstanding).sum();
    if (!views.isEmpty() && outstanding >= views.size() * MOST_OUTSTANDING_PER_SERVER) {
      return refuse("the service is full", OVERLOAD_RETRY_MILLIS);
    }
    return Optional.empty();
  }

  private long limitFor(String caller) {
    CallerSettings settings = configuration.get().callers().get(caller);
    if (settings == null) {
      return 0;
    }
    long now = context.timers().nowMillis();
    Limit limit = limits.get(caller);
    if (limit == null || !limit.settings().equals(settings)) {
      limit =
          new Limit(settings, new RateLimiter(settings.requestsPerSecond(), settings.burst(), now));
      limits.put(caller, limit);
    }
    return limit.limiter().acquire(now);
  }

  private static Optional<RequestOutcome> refuse(String reason, long retryAfterMillis) {
    return Optional.of(new RequestOutcome.RefusedNotRun(reason, retryAfterMillis));
  }

  /**
   * Carries a request for a node that took it from its caller; a copy gets the answer of the first.
   */
  public Uni<PeerResponse> onCarry(PeerRequest.CarryRequest message) {
    return carried.computeIfAbsent(
        message.callId(), id -> carryFor(message).memoize().indefinitely());
  }

  private Uni<PeerResponse> carryFor(PeerRequest.CarryRequest message) {
    ServiceSettings settings = configuration.get().services().get(message.service());
    if (settings == null || stopping) {
      return Uni.createFrom().item(new PeerResponse.Refused("not here"));
    }
    ServiceBackEnd.Request request =
        new ServiceBackEnd.Request(
            message.method(), message.path(), message.contentType(), message.body(), message.key());
    RequestCall call =
        new RequestCall(
            new CallerRequest(message.service(), request, "", 0),
            settings,
            context.timers().nowMillis() + message.deadlineMillis(),
            true);
    inProgress++;
    return keyed
        .carry(call)
        .map(
            outcome -> {
              inProgress--;
              return CarriedOutcome.toMessage(outcome);
            });
  }

  private Uni<RequestOutcome> attempt(RequestCall call) {
    budget(call).onRequest();
    return Uni.createFrom().emitter(emitter -> servers.whenCurrent(() -> attempt(call, emitter)));
  }

  private void attempt(RequestCall call, UniEmitter<? super RequestOutcome> emitter) {
    long left = call.left(context);
    if (left <= 0) {
      emitter.complete(call.unsent());
      return;
    }
    Optional<ServiceView> server =
        ServicePicker.pick(
            servers.views(call.settings.serverGroup()), context.settings().zone(), call.tried);
    if (server.isEmpty()) {
      emitter.complete(call.unsent());
      return;
    }
    ServerId id = server.get().id();
    call.tried.add(id);
    servers.onRequestStarted(id);
    long limit = attemptLimit(call, left);
    Uni<Response> sent =
        context.platform().services().call(server.get().address(), call.caller.request(), limit);
    context
        .timers()
        .withTimeout(sent, limit, "request")
        .subscribe()
        .with(
            response -> {
              servers.onRequestAnswered(id);
              emitter.complete(new RequestOutcome.Answered(response));
            },
            failure -> onFailure(call, emitter, id, PlatformException.from(failure)));
  }

  /**
   * Time for one attempt. A repeatable request leaves time for a retry elsewhere, so that a server
   * that hangs does not cost its caller the whole deadline; without a retry to spend it waits to
   * the end.
   */
  private long attemptLimit(RequestCall call, long leftMillis) {
    boolean mayRetry = call.requestClass == RequestClass.REPEATABLE && budget(call).hasRetry();
    return mayRetry
        ? Math.min(leftMillis, Math.max(LEAST_ATTEMPT_MILLIS, leftMillis / ATTEMPT_SHARE))
        : leftMillis;
  }

  private void onFailure(
      RequestCall call,
      UniEmitter<? super RequestOutcome> emitter,
      ServerId server,
      PlatformException failure) {
    boolean notRun = failure.kind() == PlatformException.Kind.NOT_RUN;
    boolean saidSo = notRun && failure.getCause() == null;
    if (saidSo) {
      servers.onRequestRejected(server);
    } else {
      servers.onRequestFailed(server);
    }
    call.mayHaveRun |= !notRun;
    boolean repeatable = notRun || call.requestClass == RequestClass.REPEATABLE;
    boolean free = saidSo && call.tried.size() == 1;
    if (repeatable && (free || budget(call).trySpend())) {
      context.metrics().requestsRetried.increment();
      attempt(call, emitter);
      return;
    }
    emitter.complete(call.unsent());
  }

  private RetryBudget budget(RequestCall call) {
    return budgets.computeIfAbsent(
        call.caller.service(),
        ignored -> new RetryBudget(RETRY_PARTS_PER_REQUEST, MOST_RETRIES_SAVED));
  }

  private record Limit(CallerSettings settings, RateLimiter limiter) {}
}
