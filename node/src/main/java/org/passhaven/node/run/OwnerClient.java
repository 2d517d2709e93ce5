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
 * Sends requests to the owner of a shard and retries until an owner responds. Retries are safe
 * because the requests are idempotent: a step is submitted at most once, and a pull with the same
 * cursor returns the same samples.
 */
public final class OwnerClient {
  private static final long RETRY_DELAY_MILLIS = 200;
  private static final long CALL_TIMEOUT_MILLIS = 3_000;
  private final NodeContext context;
  private final RunManager local;
  private final Supplier<List<MemberState>> liveNodes;
  private final Map<ShardId, String> lastOwner = new HashMap<>();

  /**
   * Creates a client.
   *
   * @param local handles requests whose owner is this node
   * @param alive supplies the live nodes
   */
  public OwnerClient(NodeContext context, RunManager local, Supplier<List<MemberState>> alive) {
    this.context = Objects.requireNonNull(context, "context");
    this.local = Objects.requireNonNull(local, "local");
    this.liveNodes = Objects.requireNonNull(alive, "alive");
  }

  /**
   * Sends a request and retries until an owner responds or the time limit expires.
   *
   * @param limitMillis time after which no further attempt starts; the last one may exceed it by up
   *     to {@code holdMillis}
   * @param holdMillis how long the owner may hold the request before it responds
   */
  public Uni<PeerResponse> send(PeerRequest.ToOwner request, long limitMillis, long holdMillis) {
    long deadline = context.timers().nowMillis() + limitMillis;
    return Uni.createFrom()
        .emitter(emitter -> attempt(new Call(request, deadline, holdMillis, emitter), 0));
  }

  private void attempt(Call call, int attempts) {
    String address = addressFor(call.request.shard(), attempts);
    long remainingMillis = call.deadlineMillis - context.timers().nowMillis();
    if (remainingMillis <= 0) {
      call.emitter.fail(
          new PlatformException(
              PlatformException.Kind.OUTCOME_UNKNOWN,
              "no owner of " + call.request.shard() + " answered"));
      return;
    }
    long timeoutMillis =
        Math.min(remainingMillis + call.holdMillis, call.holdMillis + CALL_TIMEOUT_MILLIS);
    context
        .timers()
        .withTimeout(dispatch(address, call.request, timeoutMillis), timeoutMillis, "owner")
        .subscribe()
        .with(
            response -> onResponse(call, attempts, address, response),
            failure -> {
              lastOwner.remove(call.request.shard());
              retry(call, attempts);
            });
  }

  private Uni<PeerResponse> dispatch(
      String address, PeerRequest.ToOwner request, long timeoutMillis) {
    if (address.equals(context.settings().address())) {
      return local.onRequest(request);
    }
    context.metrics().peerMessages.increment();
    return context.platform().peers().call(address, request, timeoutMillis);
  }

  private void onResponse(Call call, int attempts, String address, PeerResponse response) {
    ShardId shard = call.request.shard();
    if (!(response instanceof PeerResponse.NotOwner notOwner)) {
      lastOwner.put(shard, address);
      call.emitter.complete(response);
      return;
    }
    boolean isRedirect =
        !notOwner.ownerAddress().isEmpty() && !notOwner.ownerAddress().equals(address);
    if (isRedirect && attempts == 0) {
      lastOwner.put(shard, notOwner.ownerAddress());
      attempt(call, attempts + 1);
      return;
    }
    lastOwner.remove(shard);
    retry(call, attempts);
  }

  private void retry(Call call, int attempts) {
    context
        .timers()
        .after(attempts == 0 ? 1 : RETRY_DELAY_MILLIS, () -> attempt(call, attempts + 1));
  }

  private String addressFor(ShardId shard, int attempts) {
    String known = lastOwner.get(shard);
    if (known != null) {
      return known;
    }
    List<MemberState> candidates =
        new ArrayList<>(
            ShardPlacement.candidates(
                shard, liveNodes.get(), context.settings().candidatesPerShard()));
    return candidates.isEmpty()
        ? context.settings().address()
        : candidates.get(attempts % candidates.size()).address();
  }

  /** A request that waits for the owner's response. */
  private record Call(
      PeerRequest.ToOwner request,
      long deadlineMillis,
      long holdMillis,
      UniEmitter<? super PeerResponse> emitter) {}
}
