package org.passhaven.node.run;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import org.passhaven.protocol.PeerRequest.PullSamples;
import org.passhaven.protocol.PeerResponse;
import org.passhaven.spi.Timers;

/** Holds trainers' pull requests until samples are available or their wait time expires. */
final class PullQueue {
  private record Pending(PullSamples request, UniEmitter<? super PeerResponse> emitter) {}

  private final Timers timers;
  private final List<Pending> waiting = new ArrayList<>();

  PullQueue(Timers timers) {
    this.timers = Objects.requireNonNull(timers, "timers");
  }

  /** Queues a pull; responds with the result of {@code onTimeout} when its wait time expires. */
  Uni<PeerResponse> await(PullSamples request, Function<PullSamples, PeerResponse> onTimeout) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              Pending pending = new Pending(request, emitter);
              waiting.add(pending);
              timers.after(
                  request.waitMillis(),
                  () -> {
                    if (waiting.remove(pending)) {
                      emitter.complete(onTimeout.apply(request));
                    }
                  });
            });
  }

  /** Responds to each queued pull for which {@code responseTo} has a result. */
  void respondToReady(Function<PullSamples, Optional<PeerResponse>> responseTo) {
    for (Pending pending : List.copyOf(waiting)) {
      responseTo
          .apply(pending.request())
          .ifPresent(
              response -> {
                if (waiting.remove(pending)) {
                  pending.emitter().complete(response);
                }
              });
    }
  }

  /** Responds to all queued pulls with the same response. */
  void respondToAll(PeerResponse response) {
    List<Pending> all = List.copyOf(waiting);
    waiting.clear();
    all.forEach(pending -> pending.emitter().complete(response));
  }
}
