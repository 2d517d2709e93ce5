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
 * Requests under an idempotency key: decides by the log which try may send, and where it is
 * carried.
 */
final class KeyedRequests {
  private static final long LOG_DOWN_RETRY_MILLIS = 2_000;
  private static final long INTENT_MARGIN_MILLIS = 50;
  private static final long LEAST_FORWARD_MILLIS = 200;
  private static final long FORWARD_SHARE = 3;
  private final NodeContext context;
  private final Supplier<List<MemberState>> alive;
  private final Function<RequestCall, Uni<RequestOutcome>> sender;
  private final Map<String, IntentAgent> intents = new HashMap<>();
  private long nextCallId;

  /** Creates the part; {@code sender} sends a request whose intent is durable. */
  KeyedRequests(
      NodeContext context,
      Supplier<List<MemberState>> alive,
      Function<RequestCall, Uni<RequestOutcome>> sender) {
    this.context = Objects.requireNonNull(context, "context");
    this.alive = Objects.requireNonNull(alive, "alive");
    this.sender = Objects.requireNonNull(sender, "sender");
  }

  /**
   * Carries a request under its key. The node that keeps the key's stream does it, so that each
   * stream is followed by one node; if that node can't, this one does: the log decides who may
   * send, whoever tries.
   */
  Uni<RequestOutcome> carry(RequestCall call) {
    String stream = IntentTable.streamOf(call.key(), context.settings().intentStreamCount());
    Optional<MemberState> keeper = keeperOf(stream);
    if (call.forwarded
        || keeper.isEmpty()
        || keeper.get().node().equals(context.settings().node())) {
      return carryHere(call, stream);
    }
    return forward(call, keeper.get().address())
        .chain(
            answer ->
                answer instanceof PeerResponse.Carried carried
                    ? Uni.createFrom().item(CarriedOutcome.toOutcome(carried))
                    : carryHere(call, stream)
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
            call.left(context));
    long limit = Math.max(LEAST_FORWARD_MILLIS, call.left(context) / FORWARD_SHARE);
    return context
        .timers()
        .withTimeout(context.platform().peers().call(address, message, limit), limit, "keeper")
        .onFailure()
        .recoverWithItem(
            failure -> {
              // The keeper may still run it: from here on nobody can say that it was not run.
              call.mayHaveRun |=
                  PlatformException.from(failure).kind() != PlatformException.Kind.NOT_RUN;
              return new PeerResponse.Refused("the keeper did not answer");
            });
  }

  private static RequestOutcome withoutRefusal(RequestOutcome outcome) {
    return outcome instanceof RequestOutcome.RefusedNotRun refused
        ? new RequestOutcome.OutcomeUnknown(refused.reason())
        : outcome;
  }

  private Optional<MemberState> keeperOf(String stream) {
    List<MemberState> members = alive.get();
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

  private Uni<RequestOutcome> carryHere(RequestCall call, String stream) {
    IntentAgent agent = intents.computeIfAbsent(stream, name -> new IntentAgent(context, name));
    if (agent.isDown()) {
      return Uni.createFrom()
          .item(new RequestOutcome.RefusedNotRun("the log is down", LOG_DOWN_RETRY_MILLIS));
    }
    ServiceBackEnd.Request request = call.caller.request();
    long limit = Math.max(1, call.left(context) - INTENT_MARGIN_MILLIS);
    return agent
        .begin(
            call.key(), RequestDigest.of(request.method(), request.path(), request.body()), limit)
        .chain(decision -> onDecision(call, call.key(), agent, decision));
  }

  /** Stops following streams that were not used for a while. */
  void closeIdle() {
    intents.values().removeIf(IntentAgent::closeIfIdle);
  }

  private Uni<RequestOutcome> onDecision(
      RequestCall call, String key, IntentAgent agent, IntentAgent.Decision decision) {
    if (decision instanceof IntentAgent.Decision.Run) {
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
              "the intent could not be made durable", LOG_DOWN_RETRY_MILLIS);
    } else {
      outcome = new RequestOutcome.OutcomeUnknown("an earlier try of this key has no known answer");
    }
    return Uni.createFrom().item(outcome);
  }

  private static void onOwnOutcome(String key, IntentAgent agent, RequestOutcome outcome) {
    if (outcome instanceof RequestOutcome.Answered answered) {
      agent.answered(key, answered.response());
    } else if (outcome instanceof RequestOutcome.RefusedNotRun) {
      agent.withdraw(key);
    }
  }
}
