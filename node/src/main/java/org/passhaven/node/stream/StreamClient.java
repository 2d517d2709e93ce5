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
 * Reads one stream of the log continuously, starting after its latest snapshot, and appends records
 * to it. Snapshots are kept in a second stream.
 *
 * <p>The outcome of an append is known once the record has been read back. One batch is in flight
 * at a time and is retried with the same record identities until it has been read back, so that a
 * lost response neither loses nor duplicates records and the records of this writer stay in order.
 *
 * <p>Used on the node's thread.
 */
public final class StreamClient {
  private static final Logger LOG = LoggerFactory.getLogger(StreamClient.class);
  private static final int MAX_RECORDS_PER_READ = 500;
  private static final int MAX_RECORDS_PER_BATCH = 200;
  private static final long LONG_READ_WAIT_MILLIS = 8_000;
  private static final long RECENT_READ_MARGIN_MILLIS = 1_000;
  private static final long READ_MARGIN_MILLIS = 2_000;
  private static final long INITIAL_RETRY_DELAY_MILLIS = 100;
  private static final long MAX_RETRY_DELAY_MILLIS = 2_000;
  private static final long APPEND_TIMEOUT_MILLIS = 3_000;
  private static final long READ_BACK_TIMEOUT_MILLIS = 3_000;
  private static final long DOWN_AFTER_MILLIS = 1_500;
  private final NodeContext context;
  private final String stream;
  private final StreamListener listener;
  private final long readWaitMillis;
  private final Deque<PendingAppend> queued = new ArrayDeque<>();
  private final List<PendingAppend> inFlight = new ArrayList<>();
  private long nextOffset;
  private long batchNumber;
  private boolean isAppending;
  private boolean closed;
  private boolean caughtUp;
  private long lastReadMillis = Long.MIN_VALUE / 2;
  private long failingSinceMillis = Long.MAX_VALUE;
  private long appendRetryDelayMillis = INITIAL_RETRY_DELAY_MILLIS;
  private long readRetryDelayMillis = INITIAL_RETRY_DELAY_MILLIS;

  /** Creates a client with a long read wait, for streams that carry no leases. */
  public StreamClient(NodeContext context, String stream, StreamListener listener) {
    this(context, stream, listener, LONG_READ_WAIT_MILLIS);
  }

  /**
   * Creates a client; {@link #start} starts reading.
   *
   * @param readWaitMillis longest time that a read waits for records; an unresponsive log is
   *     detected after it
   */
  public StreamClient(
      NodeContext context, String stream, StreamListener listener, long readWaitMillis) {
    this.readWaitMillis = readWaitMillis;
    this.context = Objects.requireNonNull(context, "context");
    this.stream = Objects.requireNonNull(stream, "stream");
    this.listener = Objects.requireNonNull(listener, "listener");
  }

  /** Starts reading after the latest snapshot, or at the start of the stream if there is none. */
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
      context.timers().after(readRetryDelayMillis, this::start);
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

  /** Stops reading and appending; pending appends are not completed. */
  public void close() {
    closed = true;
  }

  /** Returns whether calls to the log have failed for a sustained time. */
  public boolean isDown() {
    return context.timers().nowMillis() - failingSinceMillis > DOWN_AFTER_MILLIS;
  }

  /**
   * Returns whether the log answered a read recently. If not, missing records of other nodes don't
   * show that these nodes have failed.
   */
  public boolean hasReadRecently() {
    return context.timers().nowMillis() - lastReadMillis
        <= readWaitMillis + RECENT_READ_MARGIN_MILLIS;
  }

  /** Returns whether a read has reached the end of the stream. */
  public boolean isCaughtUp() {
    return caughtUp;
  }

  /** Returns the offset of the next record to read. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Returns the number of records that are queued or not yet read back. */
  public int backlog() {
    return queued.size() + inFlight.size();
  }

  /**
   * Appends a record; returns whether it took effect, once it was read back. Never fails while
   * open.
   */
  public Uni<Boolean> append(LogRecord record) {
    PendingAppend pending = new PendingAppend(record);
    queued.add(pending);
    writeNext();
    return Uni.createFrom().emitter(emitter -> pending.subscribe(emitter));
  }

  /**
   * Writes a snapshot of the replicated state up to the next offset. Any node may write it, since
   * the state is the same at each.
   */
  public void writeSnapshot(byte[] image) {
    LogRecord record = new LogRecord.SnapshotTaken(nextOffset, image);
    LogEntry entry =
        new LogEntry(
            new RecordId(context.settings().node(), context.incarnation(), nextOffset), record);
    limit(
            context.platform().log().append(snapshotStream(), List.of(Codec.encode(entry))),
            APPEND_TIMEOUT_MILLIS)
        .subscribe()
        .with(
            ignored -> {}, failure -> LOG.debug("stream: snapshot of {} was not written", stream));
  }

  private String snapshotStream() {
    return stream + "-snapshots";
  }

  private void writeNext() {
    if (isAppending || closed || queued.isEmpty() || !inFlight.isEmpty()) {
      return;
    }
    long now = context.timers().nowMillis();
    while (!queued.isEmpty() && inFlight.size() < MAX_RECORDS_PER_BATCH) {
      PendingAppend pending = queued.poll();
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
    isAppending = true;
    List<byte[]> bytes =
        inFlight.stream().map(p -> Codec.encode(new LogEntry(p.id, p.record))).toList();
    limit(context.platform().log().append(stream, bytes), APPEND_TIMEOUT_MILLIS)
        .subscribe()
        .with(
            offset -> {
              appendRetryDelayMillis = INITIAL_RETRY_DELAY_MILLIS;
              scheduleRetry(sentBatch, READ_BACK_TIMEOUT_MILLIS);
            },
            failure -> {
              recordFailure();
              appendRetryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, appendRetryDelayMillis * 2);
              scheduleRetry(sentBatch, appendRetryDelayMillis);
            });
  }

  private void scheduleRetry(long sentBatch, long delayMillis) {
    isAppending = false;
    if (inFlight.isEmpty()) {
      writeNext();
      return;
    }
    context
        .timers()
        .after(
            delayMillis,
            () -> {
              if (!closed && !isAppending && sentBatch == batchNumber && !inFlight.isEmpty()) {
                context.metrics().appendsRepeated.increment();
                sendBatch();
              }
            });
  }

  private void read() {
    if (closed) {
      return;
    }
    // Reads before the end do not wait, so that an empty stream counts as caught up at once.
    long waitMillis = caughtUp ? readWaitMillis : 0;
    limit(
            context.platform().log().read(stream, nextOffset, MAX_RECORDS_PER_READ, waitMillis),
            waitMillis + READ_MARGIN_MILLIS)
        .subscribe()
        .with(
            this::onBatch,
            failure -> {
              onReadFailure();
              context.timers().after(readRetryDelayMillis, this::read);
            });
  }

  private void onReadFailure() {
    recordFailure();
    readRetryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, readRetryDelayMillis * 2);
  }

  private void onBatch(LogService.Batch batch) {
    if (failingSinceMillis != Long.MAX_VALUE) {
      listener.onLogRecovered(context.timers().nowMillis() - failingSinceMillis);
    }
    failingSinceMillis = Long.MAX_VALUE;
    lastReadMillis = context.timers().nowMillis();
    readRetryDelayMillis = INITIAL_RETRY_DELAY_MILLIS;
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
    PendingAppend pending = isOwn ? removeInFlight(entry.id()) : null;
    long sentAtMillis = pending == null ? context.timers().nowMillis() : pending.sentAtMillis;
    boolean effective = listener.onEntry(entry, isOwn, sentAtMillis);
    if (pending != null) {
      pending.complete(effective);
    }
  }

  private PendingAppend removeInFlight(RecordId id) {
    for (int i = 0; i < inFlight.size(); i++) {
      if (inFlight.get(i).id.equals(id)) {
        return inFlight.remove(i);
      }
    }
    return null;
  }

  private void recordFailure() {
    failingSinceMillis = Math.min(failingSinceMillis, context.timers().nowMillis());
  }

  private <T> Uni<T> limit(Uni<T> uni, long timeoutMillis) {
    return context.timers().withTimeout(uni, timeoutMillis, "log");
  }

  private static final class PendingAppend {
    final LogRecord record;
    RecordId id;
    long sentAtMillis;
    private Boolean outcome;
    private UniEmitter<? super Boolean> emitter;

    PendingAppend(LogRecord record) {
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
