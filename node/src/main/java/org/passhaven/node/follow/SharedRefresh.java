package org.passhaven.node.follow;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;

/**
 * Reads what a source has now, once for all who ask at the same time: those who ask while a read is
 * under way get the outcome of the next one, since this one may have begun before what they ask
 * for. Not thread-safe.
 */
final class SharedRefresh {
  private final Supplier<Uni<Boolean>> read;
  private final List<UniEmitter<? super Boolean>> asking = new ArrayList<>();

  /**
   * Creates it.
   *
   * @param read begins a read; gives true once all that was there at its beginning has been given
   */
  SharedRefresh(Supplier<Uni<Boolean>> read) {
    this.read = Objects.requireNonNull(read, "read");
  }

  /** Gives the outcome of a read that begins now or later; false if the read fails. */
  Uni<Boolean> ask() {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              asking.add(emitter);
              if (asking.size() == 1) {
                begin();
              }
            });
  }

  private void begin() {
    List<UniEmitter<? super Boolean>> asked = List.copyOf(asking);
    read.get().subscribe().with(done -> end(asked, done), failure -> end(asked, false));
  }

  private void end(List<UniEmitter<? super Boolean>> asked, boolean done) {
    asking.removeAll(asked);
    if (!asking.isEmpty()) {
      begin();
    }
    asked.forEach(emitter -> emitter.complete(done));
  }
}
