package org.passhaven.node.run;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Supplier;
import org.passhaven.node.NodeContext;
import org.passhaven.protocol.MemberState;
import org.passhaven.protocol.PeerRequest;
import org.passhaven.protocol.PeerResponse;
import org.passhaven.protocol.ShardId;
import org.passhaven.spi.PlatformException;

/**
 * Finds the owner of a shard and sends it requests. All of them may be repeated: a step is
 * submitted once whatever happens, and a pull with the same cursor gives the same samples.
 */
public final class OwnerClient {
  private static final long RETRY_MILLIS = 200;
  private static final long CALL_LIMIT_MILLIS = 3_000;
  private final NodeContext context;
  private final RunManager local;
  private final Supplier<List<MemberState>> alive;
  private final Map<ShardId, String> lastOwner = new HashMap<>();

  /** Creates a client; requests to this node itself go to {@code local}. */
  public OwnerClient(NodeContext context, RunManager local, Supplier<List<MemberState>> alive) {
    this.context = Objects.requireNonNull(context, "context");
    this.local = Objects.requireNonNull(local, "local");
    this.alive = Objects.requireNonNull(alive, "alive");
  }

  /**
   * Sends a request until an owner answers it or the time is up.
   *
   * @param holdMillis how long the owner may hold the request before it answers
   */
  public Uni<PeerResponse> send(PeerRequest.ToOwner request, long limitMillis, long holdMillis) {
    long deadline = context.timers().nowMillis() + limitMillis;
    return Uni.createFrom()
        .emitter(emitter -> attempt(new Call(request, deadline, holdMillis, emitter), 0));
  }

  private void attempt(Call call, int tries) {
    String address = addressFor(call.request.shard(), tries);
    long left = call.deadlineMillis - context.timers().nowMillis();
    if (left <= 0) {
      call.emitter.fail(
          new PlatformException(
              PlatformException.Kind.OUTCOME_UNKNOWN,
              "no owner of " + call.request.shard() + " answered"));
      return;
    }
    long limit = Math.min(left + call.holdMillis, call.holdMillis + CALL_LIMIT_MILLIS);
    context
        .timers()
        .withTimeout(dispatch(address, call.request, limit), limit, "owner")
        .subscribe()
        .with(
            response -> onAnswer(call, tries, address, response),
            failure -> {
              lastOwner.remove(call.request.shard());
              retry(call, tries);
            });
  }

  private Uni<PeerResponse> dispatch(String address, PeerRequest.ToOwner request, long limit) {
    if (address.equals(context.settings().address())) {
      return local.onRequest(request);
    }
    context.metrics().peerMessages.increment();
    return context.platform().peers().call(address, request, limit);
  }

  private void onAnswer(Call call, int tries, String address, PeerResponse response) {
    ShardId shard = call.request.shard();
    if (!(response instanceof PeerResponse.NotOwner notOwner)) {
      lastOwner.put(shard, address);
      call.emitter.complete(response);
      return;
    }
    boolean hint = !notOwner.ownerAddress().isEmpty() && !notOwner.ownerAddress().equals(address);
    if (hint && tries == 0) {
      lastOwner.put(shard, notOwner.ownerAddress());
      attempt(call, tries + 1);
      return;
    }
    lastOwner.remove(shard);
    retry(call, tries);
  }

  private void retry(Call call, int tries) {
    context.timers().after(tries == 0 ? 1 : RETRY_MILLIS, () -> attempt(call, tries + 1));
  }

  private String addressFor(ShardId shard, int tries) {
    String known = lastOwner.get(shard);
    if (known != null) {
      return known;
    }
    List<MemberState> candidates =
        new ArrayList<>(
            ShardPlacement.candidates(shard, alive.get(), context.settings().candidatesPerShard()));
    return candidates.isEmpty()
        ? context.settings().address()
        : candidates.get(tries % candidates.size()).address();
  }

  private record Call(
      PeerRequest.ToOwner request,
      long deadlineMillis,
      long holdMillis,
      UniEmitter<? super PeerResponse> emitter) {}
}
