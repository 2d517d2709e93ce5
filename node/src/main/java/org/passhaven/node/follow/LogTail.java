package org.passhaven.node.follow;

import io.smallrye.mutiny.Uni;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.passhaven.spi.LogService;
import org.passhaven.spi.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads one stream from an offset on, for good. Each record is given once and in order. After a
 * failure it tries again; records that are no longer kept are passed over. Used on the node's
 * thread.
 */
public final class LogTail {
  private static final Logger LOG = LoggerFactory.getLogger(LogTail.class);
  private static final int MOST_RECORDS = 2_000;
  private static final long WAIT_MILLIS = 2_200;

  /** Takes what is read. */
  public interface Listener {
    /** A record was read. */
    void onRecord(byte[] record);

    /** Records that were not given are no longer kept; the next one is that of an offset. */
    default void onGap(long nextOffset) {}

    /** All records of one read were given. */
    default void onBatchEnd() {}

    /** The end of the stream was reached for the first time; called once, after its records. */
    default void onCaughtUp() {}
  }

  private final LogService log;
  private final Timers timers;
  private final HistoryReadQueue history;
  private final String stream;
  private final LongSupplier betweenMillis;
  private final Listener listener;
  private final SharedRefresh refresh = new SharedRefresh(this::readNow);
  private final CurrentRead current = new CurrentRead();
  private final ReadPause pause;
  private long next;
  private boolean caughtUp;
  private boolean closed;
  private long startedAtMillis;
  private long answeredAtMillis = Long.MIN_VALUE;
  private long records;
  private long bytes;
  private long failedReads;
  private final Outage outage;

  /** Creates a tail of a stream whose history is short. */
  public LogTail(
      LogService log, Timers timers, String stream, LongSupplier betweenMillis, Listener listener) {
    this(log, timers, new HistoryReadQueue(log, timers), stream, betweenMillis, listener);
  }

  /**
   * Creates a tail; {@link #start} begins to read.
   *
   * @param history reads of the node's history, shared by all its tails
   * @param betweenMillis pause after records, so that a busy stream is read in batches; asked each
   *     time
   */
  public LogTail(
      LogService log,
      Timers timers,
      HistoryReadQueue history,
      String stream,
      LongSupplier betweenMillis,
      Listener listener) {
    this.log = Objects.requireNonNull(log, "log");
    this.timers = Objects.requireNonNull(timers, "timers");
    this.history = Objects.requireNonNull(history, "history");
    this.stream = Objects.requireNonNull(stream, "stream");
    this.betweenMillis = Objects.requireNonNull(betweenMillis, "betweenMillis");
    this.listener = Objects.requireNonNull(listener, "listener");
    this.outage = new Outage(LOG, "log", stream);
    this.pause = new ReadPause(timers, this::readOn);
  }

  /** Begins to read at an offset. */
  public void start(long offset) {
    next = offset;
    startedAtMillis = timers.nowMillis();
    readOn();
  }

  /** Whether the end of the stream was reached once. */
  public boolean isCaughtUp() {
    return caughtUp;
  }

  /** Offset behind the last record that was given. */
  public long nextOffset() {
    return next;
  }

  /** The stream's name. */
  public String stream() {
    return stream;
  }

  /** How long ago the log last answered a read of this stream; empty if it never did. */
  public OptionalLong millisSinceLastRead() {
    return answeredAtMillis == Long.MIN_VALUE
        ? OptionalLong.empty()
        : OptionalLong.of(timers.nowMillis() - answeredAtMillis);
  }

  /** Reads no more. */
  public void close() {
    closed = true;
  }

  private void readOn() {
    if (closed) {
      return;
    }
    Uni<LogService.Batch> read =
        caughtUp ? log.read(stream, next, MOST_RECORDS, waitMillis()) : history.read(stream, next);
    current.begin(read, this::onBatch, this::onFailure);
  }

  /**
   * What is sent to a log that is silent is not answered, also when the log is back. A read that
   * doesn't wait is given up sooner, and another one tells of the log's return.
   */
  private long waitMillis() {
    return outage.isDown() ? 0 : WAIT_MILLIS;
  }

  /** The read that waits may never be answered: another one takes its place. */
  public void restartReads() {
    if (pause.isRunning()) {
      endReadPause();
    } else if (current.isUnderWay() && caughtUp) {
      readOn();
    }
  }

  private void onBatch(LogService.Batch batch) {
    if (closed) {
      return;
    }
    outage.onSuccess(next);
    boolean some = deliver(batch);
    pause.begin(some && caughtUp ? betweenMillis.getAsLong() : 0);
  }

  /** Somebody waits for news of the stream: a pause between reads ends now. */
  public void endReadPause() {
    pause.cutShort();
  }

  /** Gives what was not given before; true if there was something. */
  private boolean deliver(LogService.Batch batch) {
    answeredAtMillis = timers.nowMillis();
    if (batch.firstOffset() > next) {
      LOG.atWarn()
          .addKeyValue("stream", stream)
          .addKeyValue("wanted", next)
          .addKeyValue("first", batch.firstOffset())
          .log("log: records are gone");
      next = batch.firstOffset();
      listener.onGap(next);
    }
    long offset = batch.firstOffset();
    boolean some = false;
    for (byte[] record : batch.records()) {
      if (offset == next) {
        next++;
        some = true;
        records++;
        bytes += record.length;
        give(record);
      }
      offset++;
    }
    boolean isFirstEnd = !caughtUp && next >= batch.endOffset();
    if (isFirstEnd) {
      caughtUp = true;
      LOG.atInfo()
          .addKeyValue("stream", stream)
          .addKeyValue("next", next)
          .addKeyValue("records", records)
          .addKeyValue("bytes", bytes)
          .addKeyValue("failedReads", failedReads)
          .addKeyValue("tookMillis", timers.nowMillis() - startedAtMillis)
          .log("log: caught up");
    }
    if (some) {
      listener.onBatchEnd();
    }
    if (isFirstEnd) {
      listener.onCaughtUp();
    }
    return some;
  }

  /** A record that its listener can't take must not end the reading of all that follow. */
  private void give(byte[] record) {
    try {
      listener.onRecord(record);
    } catch (RuntimeException e) {
      LOG.atError()
          .addKeyValue("stream", stream)
          .addKeyValue("offset", next - 1)
          .setCause(e)
          .log("log: a record was not taken");
    }
  }

  private void onFailure(Throwable failure) {
    if (closed) {
      return;
    }
    failedReads++;
    timers.after(outage.onFailure(failure, next), this::readOn);
  }

  /**
   * Reads what is there now, beside the waiting read. Gives true once all records that were
   * appended before the call have been given, false if the stream could not be read.
   */
  public Uni<Boolean> refresh() {
    if (!caughtUp) {
      return Uni.createFrom().item(false);
    }
    return refresh.ask();
  }

  private Uni<Boolean> readNow() {
    return log.read(stream, next, MOST_RECORDS, 0)
        .map(
            batch -> {
              deliver(batch);
              return next >= batch.endOffset();
            });
  }
}
