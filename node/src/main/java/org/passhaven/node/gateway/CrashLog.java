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
import org.passhaven.core.backend.ServerStart;
import org.passhaven.core.crash.CrashTable;
import org.passhaven.core.crash.CrashTable.Verdict;
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
 * What this node knows, and tells the others, of requests under which servers have ended. Where the
 * store is away a node goes by what it has seen itself and tells it when the store is back.
 */
public final class CrashLog {
  private static final Logger LOG = LoggerFactory.getLogger(CrashLog.class);

  /** A claim is written and read back within some 20 ms where the store is sound. */
  private static final long CLAIM_MILLIS = 400;

  private static final long TIDY_MILLIS = 10_000;

  /** For each request that is known, one that comes and one that is forgotten. */
  private static final int MOST_UNWRITTEN = 2 * CrashTable.MOST_SUSPECTS;

  private final GatewayContext context;
  private final CrashTable table = new CrashTable();
  private final TableFollower follower;

  private final Map<String, List<UniEmitter<? super Void>>> claims = new HashMap<>();
  private final ServerEnds ends;
  private final NoteWriter writer;

  CrashLog(GatewayContext context, Directory directory) {
    this.context = Objects.requireNonNull(context, "context");
    this.ends = new ServerEnds(context, directory, this::noteEnd);
    this.writer = new NoteWriter(context, context.documents().crashTable(), MOST_UNWRITTEN);
    this.follower =
        new TableFollower(
            context.tables(),
            context.timers(),
            context.documents().crashTable(),
            () -> 0,
            new NoteReader());
  }

  /** Begins to follow. */
  void start() {
    follower.start();
    ends.start();
    context.timers().every(TIDY_MILLIS, this::tidy);
  }

  /** What this node waits for may never come: reads are begun anew. */
  void renew() {
    follower.renew();
  }

  /** Whether nothing is known of any request: then no fingerprint need be made. */
  boolean isQuiet() {
    return table.isEmpty();
  }

  /** Tells a request that comes again. */
  static String fingerprintOf(Call call) {
    return RequestFingerprint.of(call.method(), call.host(), call.uri(), call.body());
  }

  /** Whether a request may run now. */
  Verdict verdict(String fingerprint) {
    return table.verdict(fingerprint, context.now());
  }

  /**
   * Whether this node may run a request that is held back, once; the trial then counts as taken.
   */
  boolean takeTrial(String fingerprint) {
    return table.takeTrial(fingerprint, context.settings().node(), context.incarnation());
  }

  /** No server ran the request in the trial that was taken. */
  void giveTrialBack(String fingerprint) {
    table.giveTrialBack(fingerprint);
  }

  /**
   * Claims the trial that is due; gives a result when it is known who has it, or that can't be
   * known soon. {@link #takeTrial} then tells whether it is this node.
   */
  Uni<Void> claimTrial(String fingerprint, int number) {
    Uni<Void> claimed =
        Uni.createFrom()
            .emitter(
                emitter -> {
                  boolean isFirst = !claims.containsKey(fingerprint);
                  claims.computeIfAbsent(fingerprint, key -> new ArrayList<>()).add(emitter);
                  if (isFirst) {
                    writeClaim(fingerprint, number);
                  }
                });
    return context
        .timers()
        .limit(claimed, CLAIM_MILLIS, "trial")
        .onFailure()
        .recoverWithNull()
        .onTermination()
        .invoke(() -> claims.remove(fingerprint));
  }

  private void writeClaim(String fingerprint, int number) {
    CrashNote.Trial trial =
        new CrashNote.Trial(fingerprint, number, context.settings().node(), context.incarnation());
    LOG.atInfo()
        .addKeyValue("fingerprint", fingerprint)
        .addKeyValue("trial", number)
        .addKeyValue("crashes", table.crashes(fingerprint))
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
   * A run of a request broke off at a server. Gives a result when it is known whether the server
   * has ended, or can't be known soon.
   */
  Uni<Void> onBroken(String fingerprint, ServerEntry server) {
    return ends.onBroken(fingerprint, server);
  }

  private void noteEnd(String fingerprint, ServerStart server) {
    CrashNote.Ended note = new CrashNote.Ended(fingerprint, server.toString());
    int before = table.crashes(fingerprint);
    take(note);
    if (table.crashes(fingerprint) == before) {
      return;
    }
    context.metrics().serversEndedUnderRequests.increment();
    LOG.atInfo()
        .addKeyValue("fingerprint", fingerprint)
        .addKeyValue("server", server)
        .addKeyValue("crashes", before + 1)
        .log("crash: a server ended under a request");
    writer.write(List.of(entryOf(note)));
  }

  private void take(CrashNote note) {
    table.onNote(note, context.now());
    if (table.isOverfull()) {
      tidy();
    }
  }

  /** A run of the request ended well: it does not crash servers. */
  void onSound(String fingerprint) {
    if (table.contains(fingerprint)) {
      forget(fingerprint, "a run ended well");
    }
  }

  private void forget(String fingerprint, String why) {
    LOG.atInfo()
        .addKeyValue("fingerprint", fingerprint)
        .addKeyValue("crashes", table.crashes(fingerprint))
        .addKeyValue("why", why)
        .log("crash: request forgotten");
    List<TableService.Entry> removals =
        table.keysOf(fingerprint).stream().map(key -> new TableService.Entry(key, null)).toList();
    table.remove(fingerprint);
    writer.write(removals);
  }

  private void tidy() {
    table.due(context.now()).forEach(fingerprint -> forget(fingerprint, "old, or too many"));
  }

  private static TableService.Entry entryOf(CrashNote note) {
    return new TableService.Entry(note.key(), Codec.encode(note));
  }

  private final class NoteReader implements TableFollower.Listener {
    @Override
    public void onDocument(String key, byte[] value) {
      if (value == null) {
        table.remove(CrashNote.fingerprintOf(key));
        return;
      }
      try {
        CrashNote note = Codec.decode(value, CrashNote.class);
        take(note);
        if (note instanceof CrashNote.Trial trial) {
          answerClaims(trial);
        }
      } catch (CodecException e) {
        LOG.atError()
            .addKeyValue("key", key)
            .addKeyValue("reason", e.getMessage())
            .log("crash: a note can't be read");
      }
    }

    private void answerClaims(CrashNote.Trial trial) {
      List<UniEmitter<? super Void>> waiting = claims.remove(trial.fingerprint());
      if (waiting != null) {
        waiting.forEach(emitter -> emitter.complete(null));
      }
    }

    @Override
    public void onListed(Set<String> keys) {
      Set<String> kept = new HashSet<>();
      keys.forEach(key -> kept.add(CrashNote.fingerprintOf(key)));
      writer.unwrittenKeys().forEach(key -> kept.add(CrashNote.fingerprintOf(key)));
      table.retain(kept);
    }
  }
}
