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

/** Pulls that wait for samples. */
final class PullQueue {
  private record Pending(PullSamples request, UniEmitter<? super PeerResponse> emitter) {}

  private final Timers timers;
  private final List<Pending> waiting = new ArrayList<>();

  PullQueue(Timers timers) {
    this.timers = Objects.requireNonNull(timers, "timers");
  }

  /** Waits for samples; gives {@code none} if the time of the pull is up. */
  Uni<PeerResponse> await(PullSamples request, Function<PullSamples, PeerResponse> none) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              Pending pending = new Pending(request, emitter);
              waiting.add(pending);
              timers.after(
                  request.waitMillis(),
                  () -> {
                    if (waiting.remove(pending)) {
                      emitter.complete(none.apply(request));
                    }
                  });
            });
  }

  /** Answers all pulls for which there is something now. */
  void serve(Function<PullSamples, Optional<PeerResponse>> answerTo) {
    for (Pending pending : List.copyOf(waiting)) {
      answerTo
          .apply(pending.request())
          .ifPresent(
              answer -> {
                if (waiting.remove(pending)) {
                  pending.emitter().complete(answer);
                }
              });
    }
  }

  /** Answers all pulls with the same answer. */
  void answerAll(PeerResponse answer) {
    List<Pending> all = List.copyOf(waiting);
    waiting.clear();
    all.forEach(pending -> pending.emitter().complete(answer));
  }
}
