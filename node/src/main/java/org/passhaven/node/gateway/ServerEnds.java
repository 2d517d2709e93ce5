package org.passhaven.node.gateway;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerStart;

/** Finds out whether a server has ended where a run broke off. */
final class ServerEnds {
  /** A refused connection is told within a round trip; what is silent this long tells nothing. */
  private static final long CHECK_MILLIS = 100;

  /** Entries of servers that have ended go after three of their heartbeats, 3.6 s. */
  private static final long ENTRY_GOES_MILLIS = 5_000;

  private static final int MOST_UNSURE = 1_000;
  private final GatewayContext context;
  private final Directory directory;
  private final Listener listener;
  private final List<Unsure> unsure = new ArrayList<>();
  private final Map<ServerStart, Uni<Boolean>> checks = new HashMap<>();

  /** Hears of servers that have ended. */
  interface Listener {
    /** A server has ended while it ran a request. */
    void onEnded(String fingerprint, ServerStart server);
  }

  /**
   * A run that broke off at a server of which it is not known yet whether it has ended.
   *
   * @param hasAnswered whether a server answered there as the one that ran it: then its entry may
   *     go as planned, and only a later start tells that it had ended
   */
  private record Unsure(
      String fingerprint, ServerEntry server, long brokenMillis, boolean hasAnswered) {}

  ServerEnds(GatewayContext context, Directory directory, Listener listener) {
    this.context = Objects.requireNonNull(context, "context");
    this.directory = Objects.requireNonNull(directory, "directory");
    this.listener = Objects.requireNonNull(listener, "listener");
  }

  /** Begins to follow the servers' entries. */
  void start() {
    directory.addListener(this::resolve);
  }

  /**
   * A run of a request broke off at a server. Gives a result when it is known whether the server
   * has ended, or can't be known soon.
   */
  Uni<Void> onBroken(String fingerprint, ServerEntry server) {
    // What breaks off at a server that leaves as planned is no crash.
    if (directory.servers().isSucceeded(server.start())) {
      listener.onEnded(fingerprint, server.start());
      return Uni.createFrom().voidItem();
    }
    if (!directory.servers().isReady(server.start())) {
      return Uni.createFrom().voidItem();
    }
    long brokenAt = context.now();
    return checks
        .computeIfAbsent(server.start(), start -> check(server))
        .invoke(
            hasEnded -> {
              if (hasEnded) {
                listener.onEnded(fingerprint, server.start());
              } else if (server.start().isBornTold()) {
                // What answered may be the next start under the same id.
                addUnsure(new Unsure(fingerprint, server, brokenAt, true));
              }
            })
        .onFailure()
        .invoke(failure -> addUnsure(new Unsure(fingerprint, server, brokenAt, false)))
        .onFailure()
        .recoverWithItem(false)
        .replaceWithVoid();
  }

  /** One question, however many runs broke off there at the same time. */
  private Uni<Boolean> check(ServerEntry server) {
    return context
        .backEnds()
        .hasEnded(ServerTargets.of(server), CHECK_MILLIS)
        .onTermination()
        .invoke(() -> checks.remove(server.start()))
        .memoize()
        .indefinitely();
  }

  private void addUnsure(Unsure broken) {
    if (unsure.size() >= MOST_UNSURE) {
      unsure.remove(0);
    }
    unsure.add(broken);
  }

  /** A server that has ended is known by its entry, which goes, or by the next start's. */
  private void resolve() {
    if (unsure.isEmpty()) {
      return;
    }
    long now = context.now();
    for (Unsure broken : List.copyOf(unsure)) {
      ServerEntry entry = directory.servers().get(broken.server().start());
      boolean isOver = now - broken.brokenMillis() >= ENTRY_GOES_MILLIS;
      boolean leaves = entry != null && !entry.ready();
      boolean isGone = entry == null && !broken.hasAnswered();
      boolean hasEnded = isGone || isSucceeded(broken.server());
      if (hasEnded && !isOver) {
        listener.onEnded(broken.fingerprint(), broken.server().start());
      }
      if (hasEnded || isOver || leaves) {
        unsure.remove(broken);
      }
    }
  }

  private boolean isSucceeded(ServerEntry server) {
    return directory.servers().all().stream()
        .anyMatch(
            other ->
                other.address().equals(server.address()) && !other.start().equals(server.start()));
  }
}
