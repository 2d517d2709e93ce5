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
 * Reads one stream continuously from an offset and delivers each record once and in order. Retries
 * failed reads and skips records that have been truncated. Used on the node's thread.
 */
public final class LogTail {
  private static final Logger LOG = LoggerFactory.getLogger(LogTail.class);
  private static final int MAX_RECORDS_PER_READ = 2_000;
  private static final long READ_WAIT_MILLIS = 2_200;

  /** Pause after memory ran out; requests in progress end and free theirs within seconds. */
  private static final long OUT_OF_MEMORY_RETRY_MILLIS = 500;

  /** Receives the records of a stream. */
  public interface Listener {
    /** Called with each record. */
    void onRecord(byte[] record);

    /** Called when undelivered records have been truncated; the next record has this offset. */
    default void onGap(long nextOffset) {}

    /** Called after all records of one read were delivered. */
    default void onBatchEnd() {}

    /** Called once, when the end of the stream is first reached, after its records. */
    default void onCaughtUp() {}
  }

  private final LogService log;
  private final Timers timers;
  private final HistoryReadQueue history;
  private final String stream;
  private final LongSupplier pauseMillis;
  private final Listener listener;
  private final CoalescedRefresh refresh = new CoalescedRefresh(this::readAvailable);
  private final LatestRead latestRead = new LatestRead();
  private final ReadPause pause;
  private long nextOffset;
  private boolean caughtUp;
  private boolean isOutOfMemory;
  private boolean closed;
  private long startMillis;
  private long lastReadMillis = Long.MIN_VALUE;
  private long recordCount;
  private long byteCount;
  private long failedReadCount;
  private final OutageTracker outage;

  /** Creates a tail with a history queue of its own, for streams with a short history. */
  public LogTail(
      LogService log, Timers timers, String stream, LongSupplier pauseMillis, Listener listener) {
    this(log, timers, new HistoryReadQueue(log, timers), stream, pauseMillis, listener);
  }

  /**
   * Creates a tail; {@link #start} starts reading.
   *
   * @param history the node's queue of history reads, shared by its tails
   * @param pauseMillis pause after a read that returned records, so that a busy stream is read in
   *     batches; queried before each pause
   */
  public LogTail(
      LogService log,
      Timers timers,
      HistoryReadQueue history,
      String stream,
      LongSupplier pauseMillis,
      Listener listener) {
    this.log = Objects.requireNonNull(log, "log");
    this.timers = Objects.requireNonNull(timers, "timers");
    this.history = Objects.requireNonNull(history, "history");
    this.stream = Objects.requireNonNull(stream, "stream");
    this.pauseMillis = Objects.requireNonNull(pauseMillis, "pauseMillis");
    this.listener = Objects.requireNonNull(listener, "listener");
    this.outage = new OutageTracker(LOG, "log", stream);
    this.pause = new ReadPause(timers, this::readNext);
  }

  /** Starts reading at an offset. */
  public void start(long offset) {
    nextOffset = offset;
    startMillis = timers.nowMillis();
    readNext();
  }

  /** Returns whether the end of the stream has been reached at least once. */
  public boolean isCaughtUp() {
    return caughtUp;
  }

  /** Returns the offset after the last delivered record. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Returns the name of the stream. */
  public String stream() {
    return stream;
  }

  /** Returns the time since the last successful read of this stream; empty if there was none. */
  public OptionalLong millisSinceLastRead() {
    return lastReadMillis == Long.MIN_VALUE
        ? OptionalLong.empty()
        : OptionalLong.of(timers.nowMillis() - lastReadMillis);
  }

  /** Stops reading. */
  public void close() {
    closed = true;
  }

  private void readNext() {
    if (closed) {
      return;
    }
    Uni<LogService.Batch> read =
        caughtUp
            ? log.read(stream, nextOffset, MAX_RECORDS_PER_READ, waitMillis())
            : history.read(stream, nextOffset);
    latestRead.start(read, this::onBatch, this::onFailure);
  }

  /**
   * Returns zero during an outage: a read sent to an unresponsive log stays unanswered after the
   * log recovers, and a read that does not wait times out sooner, so the recovery is noticed
   * sooner.
   */
  private long waitMillis() {
    return outage.isDown() ? 0 : READ_WAIT_MILLIS;
  }

  /** Ends the pause, or replaces a pending read that may never be answered. */
  public void restartReads() {
    if (pause.isRunning()) {
      endReadPause();
    } else if (latestRead.isInFlight() && caughtUp) {
      readNext();
    }
  }

  private void onBatch(LogService.Batch batch) {
    if (closed) {
      return;
    }
    outage.onSuccess(nextOffset);
    boolean hasNewRecords = deliver(batch);
    if (isOutOfMemory) {
      pause.start(OUT_OF_MEMORY_RETRY_MILLIS);
      LOG.atError()
          .addKeyValue("stream", stream)
          .addKeyValue("next", nextOffset)
          .log("log: no memory for a record, it is read again");
    } else {
      pause.start(hasNewRecords && caughtUp ? pauseMillis.getAsLong() : 0);
    }
  }

  /** Ends a pause between reads now; has no effect if there is none. */
  public void endReadPause() {
    pause.endNow();
  }

  /**
   * Delivers the records not delivered before, up to one for which memory runs out; it is read
   * again with those behind it. Returns whether any were delivered.
   */
  private boolean deliver(LogService.Batch batch) {
    long lastReadBefore = lastReadMillis;
    isOutOfMemory = false;
    lastReadMillis = timers.nowMillis();
    if (batch.firstOffset() > nextOffset) {
      LOG.atWarn()
          .addKeyValue("stream", stream)
          .addKeyValue("wanted", nextOffset)
          .addKeyValue("first", batch.firstOffset())
          .log("log: records are gone");
      nextOffset = batch.firstOffset();
      listener.onGap(nextOffset);
    }
    long offset = batch.firstOffset();
    boolean hasNewRecords = false;
    for (byte[] record : batch.records()) {
      if (offset == nextOffset) {
        nextOffset++;
        if (!deliverRecord(record)) {
          nextOffset--;
          isOutOfMemory = true;
          break;
        }
        hasNewRecords = true;
        recordCount++;
        byteCount += record.length;
      }
      offset++;
    }
    if (isOutOfMemory) {
      // The records known here are no older than before, but not current either.
      lastReadMillis = lastReadBefore;
    }
    boolean hasJustCaughtUp = !caughtUp && nextOffset >= batch.endOffset();
    if (hasJustCaughtUp) {
      caughtUp = true;
      LOG.atInfo()
          .addKeyValue("stream", stream)
          .addKeyValue("next", nextOffset)
          .addKeyValue("records", recordCount)
          .addKeyValue("bytes", byteCount)
          .addKeyValue("failedReads", failedReadCount)
          .addKeyValue("tookMillis", timers.nowMillis() - startMillis)
          .log("log: caught up");
    }
    if (hasNewRecords) {
      listener.onBatchEnd();
    }
    if (hasJustCaughtUp) {
      listener.onCaughtUp();
    }
    return hasNewRecords;
  }

  /**
   * Delivers a record; returns false if memory ran out. A record that the listener can't take is
   * logged and left out, so that later ones are still read.
   */
  private boolean deliverRecord(byte[] record) {
    try {
      listener.onRecord(record);
    } catch (OutOfMemoryError e) {
      return false;
    } catch (RuntimeException | StackOverflowError e) {
      LOG.atError()
          .addKeyValue("stream", stream)
          .addKeyValue("offset", nextOffset - 1)
          .setCause(e)
          .log("log: a record was not taken");
    }
    return true;
  }

  private void onFailure(Throwable failure) {
    if (closed) {
      return;
    }
    failedReadCount++;
    timers.after(outage.onFailure(failure, nextOffset), this::readNext);
  }

  /**
   * Reads without waiting, in addition to a pending read. Returns true once all records appended
   * before the call have been delivered, false if the stream could not be read or its end has not
   * been reached yet.
   */
  public Uni<Boolean> refresh() {
    if (!caughtUp) {
      return Uni.createFrom().item(false);
    }
    return refresh.request();
  }

  private Uni<Boolean> readAvailable() {
    return log.read(stream, nextOffset, MAX_RECORDS_PER_READ, 0)
        .map(
            batch -> {
              deliver(batch);
              return nextOffset >= batch.endOffset();
            });
  }
}
