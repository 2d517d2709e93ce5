package org.passhaven.node.gateway;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.crash.CrashTable;
import org.passhaven.core.crash.CrashTable.RequestDecision;
import org.passhaven.core.crash.RequestFingerprint;
import org.passhaven.node.follow.TableFollower;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.CodecException;
import org.passhaven.protocol.crash.CrashNote;
import org.passhaven.spi.BackEndService.Call;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.TableService;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks requests that are suspected of crashing servers and shares them with the other nodes
 * through a table in the store. While the store is unavailable, a node relies on its own
 * observations and writes them once the store is back. Not thread-safe.
 */
public final class CrashTracker {
  private static final Logger LOG = LoggerFactory.getLogger(CrashTracker.class);

  /**
   * Time limit for writing a claim and reading it back, which takes about 20 ms if the store is
   * sound and in the same region.
   */
  private static final long CLAIM_TIMEOUT_MILLIS = 400;

  private static final long CLEANUP_PERIOD_MILLIS = 10_000;

  /** Room for one addition and one removal per suspect. */
  private static final int MAX_UNWRITTEN_NOTES = 2 * CrashTable.MAX_SUSPECTS;

  private final GatewayContext context;
  private final CrashTable table = new CrashTable();
  private final TableFollower follower;

  private final Map<String, List<UniEmitter<? super Void>>> pendingClaims = new HashMap<>();
  private final ServerCrashDetector crashDetector;
  private final BatchingTableWriter writer;

  CrashTracker(GatewayContext context, PlatformDirectory directory) {
    this.context = Objects.requireNonNull(context, "context");
    this.crashDetector = new ServerCrashDetector(context, directory, this::recordCrash);
    this.writer =
        new BatchingTableWriter(context, context.documents().crashTable(), MAX_UNWRITTEN_NOTES);
    this.follower =
        new TableFollower(
            context.tables(),
            context.timers(),
            context.documents().crashTable(),
            () -> 0,
            new NoteListener());
  }

  /** Starts to follow the table and the servers. */
  void start() {
    follower.start();
    crashDetector.start();
    context.timers().every(CLEANUP_PERIOD_MILLIS, this::removeExpired);
  }

  /** Restarts the reads of the table, since pending ones may never be answered. */
  void restartReads() {
    follower.restartReads();
  }

  /** Returns whether no request is suspected, so that fingerprints need not be computed. */
  boolean hasNoSuspects() {
    return table.isEmpty();
  }

  /** Returns the fingerprint that identifies repetitions of a request. */
  static String fingerprintOf(Call call) {
    return RequestFingerprint.of(call.method(), call.host(), call.uri(), call.body());
  }

  /** Returns whether and how a request may run now. */
  RequestDecision decide(String fingerprint) {
    return table.decide(fingerprint, context.nowMillis());
  }

  /**
   * Takes the trial of a quarantined request if this node holds its claim. Returns whether this
   * node may run the request once.
   */
  boolean takeTrial(String fingerprint) {
    return table.takeTrial(fingerprint, context.settings().node(), context.incarnation());
  }

  /** Makes a taken trial available again, after no server ran the request. */
  void returnTrial(String fingerprint) {
    table.returnTrial(fingerprint);
  }

  /**
   * Claims the trial that is due. Completes when the holder of the trial is known or the time limit
   * is reached; {@link #takeTrial} then returns whether this node holds it.
   */
  Uni<Void> claimTrial(String fingerprint, int number) {
    Uni<Void> claimed =
        Uni.createFrom()
            .emitter(
                emitter -> {
                  boolean isFirst = !pendingClaims.containsKey(fingerprint);
                  pendingClaims.computeIfAbsent(fingerprint, key -> new ArrayList<>()).add(emitter);
                  if (isFirst) {
                    writeClaim(fingerprint, number);
                  }
                });
    return context
        .timers()
        .withTimeout(claimed, CLAIM_TIMEOUT_MILLIS, "trial")
        .onFailure()
        .recoverWithNull()
        .onTermination()
        .invoke(() -> pendingClaims.remove(fingerprint));
  }

  private void writeClaim(String fingerprint, int number) {
    CrashNote.Trial trial =
        new CrashNote.Trial(fingerprint, number, context.settings().node(), context.incarnation());
    LOG.atInfo()
        .addKeyValue("fingerprint", fingerprint)
        .addKeyValue("trial", number)
        .addKeyValue("crashes", table.countCrashes(fingerprint))
        .log("crash: trial claimed");
    context
        .tables()
        .put(context.documents().crashTable(), List.of(entryOf(trial)))
        .subscribe()
        .with(
            written -> {},
            failure ->
                LOG.atInfo()
                    .addKeyValue("fingerprint", fingerprint)
                    .addKeyValue("reason", PlatformException.from(failure).getMessage())
                    .log("crash: a claim failed"));
  }

  /**
   * Handles the interruption of a request at a server. Completes when it is known whether the
   * server crashed, or when that can't be determined soon.
   */
  Uni<Void> onInterrupted(String fingerprint, ServerEntry server) {
    return crashDetector.onInterrupted(fingerprint, server);
  }

  private void recordCrash(String fingerprint, ServerIncarnation server) {
    CrashNote.Crashed note = new CrashNote.Crashed(fingerprint, server.toString());
    int crashesBefore = table.countCrashes(fingerprint);
    applyNote(note);
    if (table.countCrashes(fingerprint) == crashesBefore) {
      return;
    }
    context.metrics().serverCrashesUnderRequests.increment();
    LOG.atInfo()
        .addKeyValue("fingerprint", fingerprint)
        .addKeyValue("server", server)
        .addKeyValue("crashes", crashesBefore + 1)
        .log("crash: a server ended under a request");
    writer.write(List.of(entryOf(note)));
  }

  private void applyNote(CrashNote note) {
    table.onNote(note, context.nowMillis());
    if (table.isEvictionDue()) {
      removeExpired();
    }
  }

  /** Clears a request of suspicion after it completed successfully. */
  void onSucceeded(String fingerprint) {
    if (table.contains(fingerprint)) {
      forgetRequest(fingerprint, "a run ended well");
    }
  }

  private void forgetRequest(String fingerprint, String reason) {
    LOG.atInfo()
        .addKeyValue("fingerprint", fingerprint)
        .addKeyValue("crashes", table.countCrashes(fingerprint))
        .addKeyValue("why", reason)
        .log("crash: request forgotten");
    List<TableService.Entry> removals =
        table.keysOf(fingerprint).stream().map(key -> new TableService.Entry(key, null)).toList();
    table.remove(fingerprint);
    writer.write(removals);
  }

  private void removeExpired() {
    table
        .requestsToRemove(context.nowMillis())
        .forEach(fingerprint -> forgetRequest(fingerprint, "old, or too many"));
  }

  private static TableService.Entry entryOf(CrashNote note) {
    return new TableService.Entry(note.key(), Codec.encode(note));
  }

  private final class NoteListener implements TableFollower.Listener {
    @Override
    public void onDocument(String key, byte[] value) {
      if (value == null) {
        table.remove(CrashNote.fingerprintOf(key));
        return;
      }
      try {
        CrashNote note = Codec.decode(value, CrashNote.class);
        applyNote(note);
        if (note instanceof CrashNote.Trial trial) {
          completeClaims(trial);
        }
      } catch (CodecException e) {
        LOG.atError()
            .addKeyValue("key", key)
            .addKeyValue("reason", e.getMessage())
            .log("crash: a note can't be read");
      }
    }

    private void completeClaims(CrashNote.Trial trial) {
      List<UniEmitter<? super Void>> waiting = pendingClaims.remove(trial.fingerprint());
      if (waiting != null) {
        waiting.forEach(emitter -> emitter.complete(null));
      }
    }

    @Override
    public void onListed(Set<String> keys) {
      Set<String> kept = new HashSet<>();
      keys.forEach(key -> kept.add(CrashNote.fingerprintOf(key)));
      writer.unwrittenKeys().forEach(key -> kept.add(CrashNote.fingerprintOf(key)));
      table.retainAll(kept);
    }
  }
}
