package org.passhaven.node.request;

import io.smallrye.mutiny.Uni;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.passhaven.core.placement.Member;
import org.passhaven.core.placement.Rendezvous;
import org.passhaven.core.request.IntentTable;
import org.passhaven.core.request.RequestDigest;
import org.passhaven.node.NodeContext;
import org.passhaven.protocol.MemberState;
import org.passhaven.protocol.PeerRequest;
import org.passhaven.protocol.PeerResponse;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.ServiceBackEnd;

/**
 * Handles non-repeatable requests with an idempotency key. Before a request is sent, the intent to
 * send it is recorded in the key's intent stream in the log; the first intent of the key that is
 * not withdrawn decides which attempt may send the request. One node owns each intent stream.
 */
final class KeyedRequests {
  private static final long LOG_DOWN_RETRY_AFTER_MILLIS = 2_000;
  private static final long INTENT_MARGIN_MILLIS = 50;
  private static final long MIN_FORWARD_TIMEOUT_MILLIS = 200;
  private static final long FORWARD_TIMEOUT_DIVISOR = 3;
  private final NodeContext context;
  private final Supplier<List<MemberState>> liveNodes;
  private final Function<RequestCall, Uni<RequestOutcome>> sender;
  private final Map<String, IntentAgent> intents = new HashMap<>();
  private long nextCallId;

  /** Creates a handler; {@code sender} sends a request whose intent is durable. */
  KeyedRequests(
      NodeContext context,
      Supplier<List<MemberState>> alive,
      Function<RequestCall, Uni<RequestOutcome>> sender) {
    this.context = Objects.requireNonNull(context, "context");
    this.liveNodes = Objects.requireNonNull(alive, "alive");
    this.sender = Objects.requireNonNull(sender, "sender");
  }

  /**
   * Executes a request on the node that owns the key's stream, so that only one node reads each
   * stream. Executes it on this node if the owner does not respond; this is safe because the log
   * decides which node may send the request.
   */
  Uni<RequestOutcome> execute(RequestCall call) {
    String stream = IntentTable.streamOf(call.key(), context.settings().intentStreamCount());
    Optional<MemberState> owner = streamOwner(stream);
    if (call.forwarded || owner.isEmpty() || owner.get().node().equals(context.settings().node())) {
      return executeLocally(call, stream);
    }
    return forward(call, owner.get().address())
        .chain(
            response ->
                response instanceof PeerResponse.Carried carried
                    ? Uni.createFrom().item(RequestOutcomeCodec.toOutcome(carried))
                    : executeLocally(call, stream)
                        .map(outcome -> call.mayHaveRun ? withoutRefusal(outcome) : outcome));
  }

  private Uni<PeerResponse> forward(RequestCall call, String address) {
    ServiceBackEnd.Request request = call.caller.request();
    PeerRequest.CarryRequest message =
        new PeerRequest.CarryRequest(
            context.settings().node() + "/" + context.incarnation() + "/" + nextCallId++,
            call.caller.service(),
            request.method(),
            request.path(),
            request.contentType(),
            request.body(),
            request.idempotencyKey(),
            call.remainingMillis(context));
    long timeoutMillis =
        Math.max(
            MIN_FORWARD_TIMEOUT_MILLIS, call.remainingMillis(context) / FORWARD_TIMEOUT_DIVISOR);
    return context
        .timers()
        .withTimeout(
            context.platform().peers().call(address, message, timeoutMillis),
            timeoutMillis,
            "stream owner")
        .onFailure()
        .recoverWithItem(
            failure -> {
              // The stream's owner may still run the request, so it can't be reported as not run.
              call.mayHaveRun |=
                  PlatformException.from(failure).kind() != PlatformException.Kind.NOT_RUN;
              return new PeerResponse.Refused("the owner of the intent stream did not answer");
            });
  }

  private static RequestOutcome withoutRefusal(RequestOutcome outcome) {
    return outcome instanceof RequestOutcome.RefusedNotRun refused
        ? new RequestOutcome.OutcomeUnknown(refused.reason())
        : outcome;
  }

  private Optional<MemberState> streamOwner(String stream) {
    List<MemberState> members = liveNodes.get();
    List<Member> ranked =
        Rendezvous.rank(
            stream,
            members.stream().map(state -> new Member(state.node().value(), state.zone())).toList(),
            1);
    return ranked.isEmpty()
        ? Optional.empty()
        : members.stream()
            .filter(state -> state.node().value().equals(ranked.get(0).name()))
            .findFirst();
  }

  private Uni<RequestOutcome> executeLocally(RequestCall call, String stream) {
    IntentAgent agent = intents.computeIfAbsent(stream, name -> new IntentAgent(context, name));
    if (agent.isDown()) {
      return Uni.createFrom()
          .item(new RequestOutcome.RefusedNotRun("the log is down", LOG_DOWN_RETRY_AFTER_MILLIS));
    }
    ServiceBackEnd.Request request = call.caller.request();
    long timeoutMillis = Math.max(1, call.remainingMillis(context) - INTENT_MARGIN_MILLIS);
    return agent
        .recordIntent(
            call.key(),
            RequestDigest.of(request.method(), request.path(), request.body()),
            timeoutMillis)
        .chain(decision -> onDecision(call, call.key(), agent, decision));
  }

  /** Closes the streams that are idle. */
  void closeIdle() {
    intents.values().removeIf(IntentAgent::closeIfIdle);
  }

  private Uni<RequestOutcome> onDecision(
      RequestCall call, String key, IntentAgent agent, IntentAgent.Decision decision) {
    if (decision instanceof IntentAgent.Decision.Send) {
      return sender.apply(call).invoke(outcome -> onOwnOutcome(key, agent, outcome));
    }
    RequestOutcome outcome;
    if (decision instanceof IntentAgent.Decision.Answered answered) {
      outcome = new RequestOutcome.Answered(answered.response());
    } else if (decision instanceof IntentAgent.Decision.KeyReused) {
      outcome =
          new RequestOutcome.RefusedNotRun("the idempotency key was used for another request", 0);
    } else if (decision instanceof IntentAgent.Decision.NotDurable) {
      outcome =
          new RequestOutcome.RefusedNotRun(
              "the intent could not be made durable", LOG_DOWN_RETRY_AFTER_MILLIS);
    } else {
      outcome = new RequestOutcome.OutcomeUnknown("an earlier try of this key has no known answer");
    }
    return Uni.createFrom().item(outcome);
  }

  private static void onOwnOutcome(String key, IntentAgent agent, RequestOutcome outcome) {
    if (outcome instanceof RequestOutcome.Answered answered) {
      agent.recordAnswer(key, answered.response());
    } else if (outcome instanceof RequestOutcome.RefusedNotRun) {
      agent.withdraw(key);
    }
  }
}
