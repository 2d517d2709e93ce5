package org.passhaven.node.follow;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.Cancellable;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import org.passhaven.core.log.ReadConcurrencyLimiter;
import org.passhaven.spi.LogService;
import org.passhaven.spi.LogService.Batch;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.Timers;

/**
 * Queue of a node's history reads, which read the existing records of a stream up to its end. Reads
 * in chunks and limits the number of reads in flight to what the connection to the log sustains
 * ({@link ReadConcurrencyLimiter}), so that nodes that start at the same time don't overload the
 * log with reads that time out. Callers have at most one read of each stream in flight. Used on the
 * node's thread.
 */
public final class HistoryReadQueue {
  /**
   * Size of a chunk, which takes about one second to read on a 2 Mbit/s link, so that a lost chunk
   * costs little.
   */
  private static final int CHUNK_BYTES = 262_144;

  private final LogService log;
  private final Timers timers;
  private final ReadConcurrencyLimiter concurrencyLimiter = new ReadConcurrencyLimiter();
  private final Deque<QueuedRead> waiting = new ArrayDeque<>();
  private int inFlight;

  /** Creates an empty queue for one node. */
  public HistoryReadQueue(LogService log, Timers timers) {
    this.log = Objects.requireNonNull(log, "log");
    this.timers = Objects.requireNonNull(timers, "timers");
  }

  /**
   * Reads a chunk that starts at an offset once all reads queued before have started; fails with
   * {@link PlatformException}.
   */
  public Uni<Batch> read(String stream, long from) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              waiting.addLast(new QueuedRead(stream, from, emitter));
              startReads();
            });
  }

  /** Reads a chunk before all queued reads, for callers that are blocked until it is read. */
  public Uni<Batch> readWithPriority(String stream, long from) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              waiting.addFirst(new QueuedRead(stream, from, emitter));
              startReads();
            });
  }

  private void startReads() {
    while (inFlight < concurrencyLimiter.maxConcurrentReads() && !waiting.isEmpty()) {
      waiting.pollFirst().start();
    }
  }

  private final class QueuedRead {
    private final String stream;
    private final long from;
    private final UniEmitter<? super Batch> emitter;
    private Cancellable subscription;
    private boolean started;
    private boolean ended;

    QueuedRead(String stream, long from, UniEmitter<? super Batch> emitter) {
      this.stream = stream;
      this.from = from;
      this.emitter = emitter;
      emitter.onTermination(this::cancel);
    }

    void start() {
      started = true;
      inFlight++;
      long startMillis = timers.nowMillis();
      subscription =
          log.readHistory(stream, from, CHUNK_BYTES)
              .subscribe()
              .with(
                  batch -> onBatch(batch, startMillis), failure -> onFailure(failure, startMillis));
    }

    private void onBatch(Batch batch, long startMillis) {
      if (markEnded()) {
        concurrencyLimiter.onReadCompleted(timers.nowMillis() - startMillis);
        emitter.complete(batch);
        startReads();
      }
    }

    private void onFailure(Throwable failure, long startMillis) {
      if (markEnded()) {
        if (PlatformException.from(failure).kind() != PlatformException.Kind.NOT_RUN) {
          concurrencyLimiter.onReadLost(startMillis, timers.nowMillis());
        }
        emitter.fail(failure);
        startReads();
      }
    }

    /** Removes the read from the queue, or cancels it at the log if it has started. */
    private void cancel() {
      if (!started) {
        waiting.remove(this);
      } else if (markEnded()) {
        if (subscription != null) {
          subscription.cancel();
        }
        startReads();
      }
    }

    /** Returns false if the read has already ended. */
    private boolean markEnded() {
      if (ended) {
        return false;
      }
      ended = true;
      inFlight--;
      return true;
    }
  }
}
