package org.passhaven.node.gateway;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;

/**
 * Detects whether a server crashed when a request at it was interrupted, by a probe and by the
 * server's directory entries. Not thread-safe.
 */
final class ServerCrashDetector {
  /** A refused connection is reported within a round trip; a timeout proves nothing. */
  private static final long PROBE_TIMEOUT_MILLIS = 100;

  /**
   * Exceeds the time after which the entry of a server without heartbeats is removed: three of its
   * heartbeats, 3.6 s.
   */
  private static final long ENTRY_REMOVAL_TIMEOUT_MILLIS = 5_000;

  private static final int MAX_UNRESOLVED = 1_000;
  private final GatewayContext context;
  private final PlatformDirectory directory;
  private final Listener listener;
  private final List<Interruption> unresolved = new ArrayList<>();
  private final Map<ServerIncarnation, Uni<Boolean>> probesInFlight = new HashMap<>();

  /** Receives detected crashes. */
  interface Listener {
    /** Called when a server crashed while it ran a request. */
    void onServerCrashed(String fingerprint, ServerIncarnation server);
  }

  /**
   * An interrupted request at a server that is not known to have crashed or survived.
   *
   * @param hasAnswered whether the server answered the probe; the removal of its entry may then be
   *     a planned shutdown, so only a later start at the same address proves a crash
   */
  private record Interruption(
      String fingerprint, ServerEntry server, long interruptedAtMillis, boolean hasAnswered) {}

  ServerCrashDetector(GatewayContext context, PlatformDirectory directory, Listener listener) {
    this.context = Objects.requireNonNull(context, "context");
    this.directory = Objects.requireNonNull(directory, "directory");
    this.listener = Objects.requireNonNull(listener, "listener");
  }

  /** Starts to follow the servers' directory entries. */
  void start() {
    directory.addListener(this::resolve);
  }

  /**
   * Handles the interruption of a request at a server. Completes when it is known whether the
   * server crashed, or when that can't be determined soon.
   */
  Uni<Void> onInterrupted(String fingerprint, ServerEntry server) {
    // An interruption at a server that shuts down as planned is not a crash.
    if (directory.servers().isSuperseded(server.incarnation())) {
      listener.onServerCrashed(fingerprint, server.incarnation());
      return Uni.createFrom().voidItem();
    }
    if (!directory.servers().isReady(server.incarnation())) {
      return Uni.createFrom().voidItem();
    }
    long interruptedAtMillis = context.nowMillis();
    return probesInFlight
        .computeIfAbsent(server.incarnation(), incarnation -> probe(server))
        .invoke(
            hasEnded -> {
              if (hasEnded) {
                listener.onServerCrashed(fingerprint, server.incarnation());
              } else if (server.incarnation().hasStartTime()) {
                // A restarted server with the same id may have answered.
                addUnresolved(new Interruption(fingerprint, server, interruptedAtMillis, true));
              }
            })
        .onFailure()
        .invoke(
            failure ->
                addUnresolved(new Interruption(fingerprint, server, interruptedAtMillis, false)))
        .onFailure()
        .recoverWithItem(false)
        .replaceWithVoid();
  }

  /** Asks a server whether it ended; concurrent interruptions at a server share one probe. */
  private Uni<Boolean> probe(ServerEntry server) {
    return context
        .backEnds()
        .hasEnded(ServerTargets.of(server), PROBE_TIMEOUT_MILLIS)
        .onTermination()
        .invoke(() -> probesInFlight.remove(server.incarnation()))
        .memoize()
        .indefinitely();
  }

  private void addUnresolved(Interruption interruption) {
    if (unresolved.size() >= MAX_UNRESOLVED) {
      unresolved.remove(0);
    }
    unresolved.add(interruption);
  }

  /** Resolves interruptions by the removal of a server's entry or the entry of a later start. */
  private void resolve() {
    if (unresolved.isEmpty()) {
      return;
    }
    long now = context.nowMillis();
    for (Interruption interruption : List.copyOf(unresolved)) {
      ServerEntry entry = directory.servers().get(interruption.server().incarnation());
      boolean isExpired = now - interruption.interruptedAtMillis() >= ENTRY_REMOVAL_TIMEOUT_MILLIS;
      boolean isShuttingDown = entry != null && !entry.ready();
      boolean isRemoved = entry == null && !interruption.hasAnswered();
      boolean hasEnded = isRemoved || isSuperseded(interruption.server());
      if (hasEnded && !isExpired) {
        listener.onServerCrashed(interruption.fingerprint(), interruption.server().incarnation());
      }
      if (hasEnded || isExpired || isShuttingDown) {
        unresolved.remove(interruption);
      }
    }
  }

  private boolean isSuperseded(ServerEntry server) {
    return directory.servers().all().stream()
        .anyMatch(
            other ->
                other.address().equals(server.address())
                    && !other.incarnation().equals(server.incarnation()));
  }
}
