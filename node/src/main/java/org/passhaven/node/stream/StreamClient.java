package org.passhaven.node.stream;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import org.passhaven.node.NodeContext;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.CodecException;
import org.passhaven.protocol.LogEntry;
import org.passhaven.protocol.LogRecord;
import org.passhaven.protocol.RecordId;
import org.passhaven.spi.LogService;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows one stream of the log and writes to it.
 *
 * <p>A writer learns the outcome of an append only by reading its own record back. One batch is in
 * flight at a time and is repeated under the same identities until it was read, so a lost answer
 * neither loses nor doubles a record, and no record of this writer overtakes another.
 *
 * <p>All calls on the node's thread.
 */
public final class StreamClient {
  private static final Logger LOG = LoggerFactory.getLogger(StreamClient.class);
  private static final int MOST_READ = 500;
  private static final int MOST_IN_BATCH = 200;
  private static final long LONG_READ_WAIT_MILLIS = 8_000;
  private static final long FRESH_MARGIN_MILLIS = 1_000;
  private static final long READ_MARGIN_MILLIS = 2_000;
  private static final long FIRST_RETRY_MILLIS = 100;
  private static final long MOST_RETRY_MILLIS = 2_000;
  private static final long APPEND_LIMIT_MILLIS = 3_000;
  private static final long READ_BACK_LIMIT_MILLIS = 3_000;
  private static final long DOWN_AFTER_MILLIS = 1_500;
  private final NodeContext context;
  private final String stream;
  private final StreamListener listener;
  private final long readWaitMillis;
  private final Deque<Pending> queued = new ArrayDeque<>();
  private final List<Pending> inFlight = new ArrayList<>();
  private long nextOffset;
  private long batchNumber;
  private boolean appending;
  private boolean closed;
  private boolean caughtUp;
  private long lastReadMillis = Long.MIN_VALUE / 2;
  private long failingSinceMillis = Long.MAX_VALUE;
  private long retryMillis = FIRST_RETRY_MILLIS;
  private long readRetryMillis = FIRST_RETRY_MILLIS;

  /**
   * Creates a client that waits long for further records, for streams that nobody holds a lease in.
   */
  public StreamClient(NodeContext context, String stream, StreamListener listener) {
    this(context, stream, listener, LONG_READ_WAIT_MILLIS);
  }

  /**
   * Creates a client; {@link #start} begins to read.
   *
   * @param readWaitMillis how long a read waits for a first record; the log's silence is noticed
   *     after it
   */
  public StreamClient(
      NodeContext context, String stream, StreamListener listener, long readWaitMillis) {
    this.readWaitMillis = readWaitMillis;
    this.context = Objects.requireNonNull(context, "context");
    this.stream = Objects.requireNonNull(stream, "stream");
    this.listener = Objects.requireNonNull(listener, "listener");
  }

  /** Begins at the newest snapshot, if there is one, else at the start. */
  public void start() {
    Uni<LogService.Batch> snapshots =
        context.platform().log().read(snapshotStream(), LogService.LAST, 1, 0);
    limit(snapshots, READ_MARGIN_MILLIS)
        .subscribe()
        .with(
            batch -> {
              restore(batch);
              read();
            },
            failure -> retryStart());
  }

  private void retryStart() {
    onReadFailure();
    if (!closed) {
      context.timers().after(readRetryMillis, this::start);
    }
  }

  private void restore(LogService.Batch batch) {
    if (batch.records().isEmpty()) {
      return;
    }
    try {
      LogEntry entry = Codec.decode(batch.records().get(0), LogEntry.class);
      if (entry.record() instanceof LogRecord.SnapshotTaken snapshot
          && snapshot.throughOffset() > nextOffset) {
        listener.onRestore(snapshot.image());
        nextOffset = snapshot.throughOffset();
      }
    } catch (CodecException e) {
      LOG.warn("stream: snapshot of {} is unreadable", stream);
    }
  }

  /** Stops reading and writing; what was not read back stays unknown to this writer. */
  public void close() {
    closed = true;
  }

  /** Whether the log has failed for a while, so that a record would wait long. */
  public boolean isDown() {
    return context.timers().nowMillis() - failingSinceMillis > DOWN_AFTER_MILLIS;
  }

  /**
   * Whether the log answered a read a short while ago; its silence says nothing of others
   * otherwise.
   */
  public boolean hasReadRecently() {
    return context.timers().nowMillis() - lastReadMillis <= readWaitMillis + FRESH_MARGIN_MILLIS;
  }

  /** Whether all records that the stream held at the last read were folded. */
  public boolean isCaughtUp() {
    return caughtUp;
  }

  /** Offset of the next record to read. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Records that wait to be read back. */
  public int backlog() {
    return queued.size() + inFlight.size();
  }

  /**
   * Writes a record; gives, once it was read back, whether it took effect. Never fails while open.
   */
  public Uni<Boolean> append(LogRecord record) {
    Pending pending = new Pending(record);
    queued.add(pending);
    writeNext();
    return Uni.createFrom().emitter(emitter -> pending.subscribe(emitter));
  }

  /**
   * Writes a snapshot of the fold up to the next offset. Any node's is good: the fold is the same.
   */
  public void writeSnapshot(byte[] image) {
    LogRecord record = new LogRecord.SnapshotTaken(nextOffset, image);
    LogEntry entry =
        new LogEntry(
            new RecordId(context.settings().node(), context.incarnation(), nextOffset), record);
    limit(
            context.platform().log().append(snapshotStream(), List.of(Codec.encode(entry))),
            APPEND_LIMIT_MILLIS)
        .subscribe()
        .with(
            ignored -> {}, failure -> LOG.debug("stream: snapshot of {} was not written", stream));
  }

  private String snapshotStream() {
    return stream + "-snapshots";
  }

  private void writeNext() {
    if (appending || closed || queued.isEmpty() || !inFlight.isEmpty()) {
      return;
    }
    long now = context.timers().nowMillis();
    while (!queued.isEmpty() && inFlight.size() < MOST_IN_BATCH) {
      Pending pending = queued.poll();
      pending.id =
          new RecordId(
              context.settings().node(), context.incarnation(), context.recordSequence().next());
      pending.sentAtMillis = now;
      inFlight.add(pending);
    }
    batchNumber++;
    context.metrics().recordsAppended.increment(inFlight.size());
    sendBatch();
  }

  private void sendBatch() {
    long sentBatch = batchNumber;
    appending = true;
    List<byte[]> bytes =
        inFlight.stream().map(p -> Codec.encode(new LogEntry(p.id, p.record))).toList();
    limit(context.platform().log().append(stream, bytes), APPEND_LIMIT_MILLIS)
        .subscribe()
        .with(
            offset -> {
              retryMillis = FIRST_RETRY_MILLIS;
              repeatLater(sentBatch, READ_BACK_LIMIT_MILLIS);
            },
            failure -> {
              noteFailure();
              retryMillis = Math.min(MOST_RETRY_MILLIS, retryMillis * 2);
              repeatLater(sentBatch, retryMillis);
            });
  }

  private void repeatLater(long sentBatch, long delayMillis) {
    appending = false;
    if (inFlight.isEmpty()) {
      writeNext();
      return;
    }
    context
        .timers()
        .after(
            delayMillis,
            () -> {
              if (!closed && !appending && sentBatch == batchNumber && !inFlight.isEmpty()) {
                context.metrics().appendsRepeated.increment();
                sendBatch();
              }
            });
  }

  private void read() {
    if (closed) {
      return;
    }
    // The first reads do not wait, so that an empty stream is known to be caught up at once.
    long wait = caughtUp ? readWaitMillis : 0;
    limit(
            context.platform().log().read(stream, nextOffset, MOST_READ, wait),
            wait + READ_MARGIN_MILLIS)
        .subscribe()
        .with(
            this::onBatch,
            failure -> {
              onReadFailure();
              context.timers().after(readRetryMillis, this::read);
            });
  }

  private void onReadFailure() {
    noteFailure();
    readRetryMillis = Math.min(MOST_RETRY_MILLIS, readRetryMillis * 2);
  }

  private void onBatch(LogService.Batch batch) {
    if (failingSinceMillis != Long.MAX_VALUE) {
      listener.onLogRecovered(context.timers().nowMillis() - failingSinceMillis);
    }
    failingSinceMillis = Long.MAX_VALUE;
    lastReadMillis = context.timers().nowMillis();
    readRetryMillis = FIRST_RETRY_MILLIS;
    if (closed) {
      return;
    }
    if (batch.firstOffset() > nextOffset) {
      LOG.info(
          "stream: {} was truncated to {}, starting from the snapshot",
          stream,
          batch.firstOffset());
      start();
      return;
    }
    for (byte[] bytes : batch.records()) {
      nextOffset++;
      onRecord(bytes);
    }
    if (nextOffset >= batch.endOffset()) {
      caughtUp = true;
      listener.onCaughtUp();
    }
    writeNext();
    read();
  }

  private void onRecord(byte[] bytes) {
    LogEntry entry;
    try {
      entry = Codec.decode(bytes, LogEntry.class);
    } catch (CodecException e) {
      LOG.warn("stream: record {} of {} is unreadable and ignored", nextOffset - 1, stream);
      return;
    }
    boolean isOwn =
        entry.id().writer().equals(context.settings().node())
            && entry.id().incarnation() == context.incarnation();
    Pending pending = isOwn ? takeInFlight(entry.id()) : null;
    long sentAt = pending == null ? context.timers().nowMillis() : pending.sentAtMillis;
    boolean effective = listener.onEntry(entry, isOwn, sentAt);
    if (pending != null) {
      pending.complete(effective);
    }
  }

  private Pending takeInFlight(RecordId id) {
    for (int i = 0; i < inFlight.size(); i++) {
      if (inFlight.get(i).id.equals(id)) {
        return inFlight.remove(i);
      }
    }
    return null;
  }

  private void noteFailure() {
    failingSinceMillis = Math.min(failingSinceMillis, context.timers().nowMillis());
  }

  private <T> Uni<T> limit(Uni<T> uni, long limitMillis) {
    return context.timers().withTimeout(uni, limitMillis, "log");
  }

  private static final class Pending {
    final LogRecord record;
    RecordId id;
    long sentAtMillis;
    private Boolean outcome;
    private UniEmitter<? super Boolean> emitter;

    Pending(LogRecord record) {
      this.record = Objects.requireNonNull(record, "record");
    }

    void subscribe(UniEmitter<? super Boolean> subscriber) {
      if (outcome != null) {
        subscriber.complete(outcome);
      } else {
        emitter = subscriber;
      }
    }

    void complete(boolean effective) {
      outcome = effective;
      if (emitter != null) {
        emitter.complete(effective);
      }
    }
  }
}
