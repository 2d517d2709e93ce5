package org.passhaven.node.follow;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;

/**
 * Merges concurrent requests to refresh a source into as few reads as possible. Requests made while
 * a read is in flight share the next read, because the current one may miss data written before
 * they were made. Not thread-safe.
 */
final class CoalescedRefresh {
  private final Supplier<Uni<Boolean>> read;
  private final List<UniEmitter<? super Boolean>> waiting = new ArrayList<>();

  /**
   * Creates a refresh without pending requests.
   *
   * @param read starts a read; returns true once all data present at its start has been delivered
   */
  CoalescedRefresh(Supplier<Uni<Boolean>> read) {
    this.read = Objects.requireNonNull(read, "read");
  }

  /** Returns the outcome of a read that starts at or after this call; false if the read fails. */
  Uni<Boolean> request() {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              waiting.add(emitter);
              if (waiting.size() == 1) {
                startRead();
              }
            });
  }

  private void startRead() {
    List<UniEmitter<? super Boolean>> served = List.copyOf(waiting);
    read.get()
        .subscribe()
        .with(succeeded -> onReadEnd(served, succeeded), failure -> onReadEnd(served, false));
  }

  private void onReadEnd(List<UniEmitter<? super Boolean>> served, boolean succeeded) {
    waiting.removeAll(served);
    if (!waiting.isEmpty()) {
      startRead();
    }
    served.forEach(emitter -> emitter.complete(succeeded));
  }
}
