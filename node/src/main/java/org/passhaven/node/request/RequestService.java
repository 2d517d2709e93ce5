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
 * Sends callers' requests to the servers of a service.
 *
 * <p>A request is retried only if it is known not to have run or is repeatable, and only within the
 * retry budget of its service; a retry after the refusal of the first server tried doesn't count
 * against the budget. A non-repeatable request with an idempotency key is sent only after its
 * intent is durable; one without a key is not retried once a server may have run it.
 */
public final class RequestService {
  private static final int RETRY_PARTS_PER_REQUEST = 100;
  private static final int MAX_SAVED_RETRIES = 20;
  private static final long NO_SERVER_RETRY_AFTER_MILLIS = 500;
  private static final long OVERLOAD_RETRY_AFTER_MILLIS = 1_000;
  private static final int MAX_REMEMBERED_FORWARDED_CALLS = 2_000;
  private static final long MIN_ATTEMPT_TIMEOUT_MILLIS = 100;
  private static final long ATTEMPT_TIMEOUT_DIVISOR = 4;
  private static final long IDLE_CHECK_INTERVAL_MILLIS = 10_000;
  private static final int MAX_OUTSTANDING_PER_SERVER = 256;

  /**
   * Represents a caller's request to a service.
   *
   * @param caller caller's name for rate limits; empty if it gave none
   * @param deadlineMillis time limit for the outcome; 0 for the service's default
   */
  public record CallerRequest(
      String service, ServiceBackEnd.Request request, String caller, long deadlineMillis) {}

  private final NodeContext context;
  private final ServiceDirectory servers;
  private final Supplier<ConfigurationSnapshot> configuration;
  private final KeyedRequests keyed;
  private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
  private final Map<String, CallerLimit> callerLimits = new HashMap<>();
  private final Map<String, Uni<PeerResponse>> forwardedCalls =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Uni<PeerResponse>> eldest) {
          return size() > MAX_REMEMBERED_FORWARDED_CALLS;
        }
      };
  private int inProgress;
  private boolean stopping;

  /**
   * Creates the service.
   *
   * @param configuration supplies the current configuration
   * @param alive supplies the live nodes
   */
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

  /** Starts the periodic closing of idle intent streams. */
  public void start() {
    context.timers().every(IDLE_CHECK_INTERVAL_MILLIS, keyed::closeIdle);
  }

  /** Stops accepting new requests. */
  public void stopAccepting() {
    stopping = true;
  }

  /** Returns the number of requests in progress. */
  public int inProgress() {
    return inProgress;
  }

  /** Executes a request; the result never fails but always holds an outcome. */
  public Uni<RequestOutcome> call(CallerRequest caller) {
    ServiceSettings settings = configuration.get().services().get(caller.service());
    Optional<RequestOutcome> refusal = admit(caller, settings);
    if (refusal.isPresent()) {
      return Uni.createFrom().item(refusal.get()).invoke(this::countOutcome);
    }
    inProgress++;
    long timeoutMillis =
        caller.deadlineMillis() <= 0
            ? settings.deadlineMillis()
            : Math.min(caller.deadlineMillis(), settings.deadlineMillis());
    RequestCall call =
        new RequestCall(caller, settings, context.timers().nowMillis() + timeoutMillis, false);
    Uni<RequestOutcome> outcome = call.needsIntent() ? keyed.execute(call) : attempt(call);
    return outcome.invoke(
        result -> {
          inProgress--;
          countOutcome(result);
        });
  }

  private void countOutcome(RequestOutcome outcome) {
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
      return refuse("this node is stopping", NO_SERVER_RETRY_AFTER_MILLIS);
    }
    long waitMillis = acquireCallerPermit(caller.caller());
    if (waitMillis > 0) {
      return refuse("over the limit of caller " + caller.caller(), waitMillis);
    }
    List<ServiceView> views = servers.views(settings.serverGroup());
    int outstanding = views.stream().mapToInt(ServiceView::outstanding).sum();
    if (!views.isEmpty() && outstanding >= views.size() * MAX_OUTSTANDING_PER_SERVER) {
      return refuse("the service is full", OVERLOAD_RETRY_AFTER_MILLIS);
    }
    return Optional.empty();
  }

  private long acquireCallerPermit(String caller) {
    CallerSettings settings = configuration.get().callers().get(caller);
    if (settings == null) {
      return 0;
    }
    long now = context.timers().nowMillis();
    CallerLimit limit = callerLimits.get(caller);
    if (limit == null || !limit.settings().equals(settings)) {
      limit =
          new CallerLimit(
              settings, new RateLimiter(settings.requestsPerSecond(), settings.burst(), now));
      callerLimits.put(caller, limit);
    }
    return limit.limiter().acquire(now);
  }

  private static Optional<RequestOutcome> refuse(String reason, long retryAfterMillis) {
    return Optional.of(new RequestOutcome.RefusedNotRun(reason, retryAfterMillis));
  }

  /**
   * Executes a request that another node forwarded. A duplicate of the message gets the same
   * response.
   */
  public Uni<PeerResponse> onForwardedRequest(PeerRequest.CarryRequest message) {
    return forwardedCalls.computeIfAbsent(
        message.callId(), id -> executeForwarded(message).memoize().indefinitely());
  }

  private Uni<PeerResponse> executeForwarded(PeerRequest.CarryRequest message) {
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
        .execute(call)
        .map(
            outcome -> {
              inProgress--;
              return RequestOutcomeCodec.toMessage(outcome);
            });
  }

  private Uni<RequestOutcome> attempt(RequestCall call) {
    retryBudget(call).onRequest();
    return Uni.createFrom().emitter(emitter -> servers.whenCurrent(() -> attempt(call, emitter)));
  }

  private void attempt(RequestCall call, UniEmitter<? super RequestOutcome> emitter) {
    long remainingMillis = call.remainingMillis(context);
    if (remainingMillis <= 0) {
      emitter.complete(call.noResponseOutcome());
      return;
    }
    Optional<ServiceView> server =
        ServicePicker.pick(
            servers.views(call.settings.serverGroup()),
            context.settings().zone(),
            call.triedServers);
    if (server.isEmpty()) {
      emitter.complete(call.noResponseOutcome());
      return;
    }
    ServerId id = server.get().id();
    call.triedServers.add(id);
    servers.onRequestStarted(id);
    long timeoutMillis = attemptTimeoutMillis(call, remainingMillis);
    Uni<Response> sent =
        context
            .platform()
            .services()
            .call(server.get().address(), call.caller.request(), timeoutMillis);
    context
        .timers()
        .withTimeout(sent, timeoutMillis, "request")
        .subscribe()
        .with(
            response -> {
              servers.onRequestAnswered(id);
              emitter.complete(new RequestOutcome.Answered(response));
            },
            failure -> onFailure(call, emitter, id, PlatformException.from(failure)));
  }

  /**
   * Returns the timeout of one attempt. A request that may be retried keeps time for a retry on
   * another server, in case the first one hangs; any other request uses all the remaining time.
   */
  private long attemptTimeoutMillis(RequestCall call, long remainingMillis) {
    boolean mayRetry = call.requestClass == RequestClass.REPEATABLE && retryBudget(call).hasRetry();
    return mayRetry
        ? Math.min(
            remainingMillis,
            Math.max(MIN_ATTEMPT_TIMEOUT_MILLIS, remainingMillis / ATTEMPT_TIMEOUT_DIVISOR))
        : remainingMillis;
  }

  private void onFailure(
      RequestCall call,
      UniEmitter<? super RequestOutcome> emitter,
      ServerId server,
      PlatformException failure) {
    boolean notRun = failure.kind() == PlatformException.Kind.NOT_RUN;
    boolean refusedByServer = notRun && failure.getCause() == null;
    if (refusedByServer) {
      servers.onRequestRejected(server);
    } else {
      servers.onRequestFailed(server);
    }
    call.mayHaveRun |= !notRun;
    boolean repeatable = notRun || call.requestClass == RequestClass.REPEATABLE;
    boolean isFreeRetry = refusedByServer && call.triedServers.size() == 1;
    if (repeatable && (isFreeRetry || retryBudget(call).trySpend())) {
      context.metrics().requestsRetried.increment();
      attempt(call, emitter);
      return;
    }
    emitter.complete(call.noResponseOutcome());
  }

  private RetryBudget retryBudget(RequestCall call) {
    return retryBudgets.computeIfAbsent(
        call.caller.service(),
        ignored -> new RetryBudget(RETRY_PARTS_PER_REQUEST, MAX_SAVED_RETRIES));
  }

  /** A caller's rate limiter and the settings from which it was created. */
  private record CallerLimit(CallerSettings settings, RateLimiter limiter) {}
}
