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
 * A node's reads of history, over all streams: in pieces, and as many at a time as the way to the
 * log carries ({@link ReadConcurrencyLimiter}). After the loss of all nodes each one reads, and
 * together they share what the log gives; reads that are given up have used their part of it all
 * the same. Each stream has one read under way, whose records are all kept. Used on the node's
 * thread.
 */
public final class HistoryReadQueue {
  /**
   * A second's worth of a 2 Mbit/s link, and more than one submission: a lost piece costs little.
   */
  private static final int PIECE_BYTES = 262_144;

  private final LogService log;
  private final Timers timers;
  private final ReadConcurrencyLimiter window = new ReadConcurrencyLimiter();
  private final Deque<Read> waiting = new ArrayDeque<>();
  private int underWay;

  /** Creates the reads of one node. */
  public HistoryReadQueue(LogService log, Timers timers) {
    this.log = Objects.requireNonNull(log, "log");
    this.timers = Objects.requireNonNull(timers, "timers");
  }

  /** Reads a piece from an offset on when its turn comes; fails with {@link PlatformException}. */
  public Uni<Batch> read(String stream, long from) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              waiting.addLast(new Read(stream, from, emitter));
              beginReads();
            });
  }

  /** Reads a piece before all others that wait: somebody's work stands still until it is read. */
  public Uni<Batch> readWithPriority(String stream, long from) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              waiting.addFirst(new Read(stream, from, emitter));
              beginReads();
            });
  }

  private void beginReads() {
    while (underWay < window.maxConcurrentReads() && !waiting.isEmpty()) {
      waiting.pollFirst().begin();
    }
  }

  private final class Read {
    private final String stream;
    private final long from;
    private final UniEmitter<? super Batch> emitter;
    private Cancellable running;
    private boolean begun;
    private boolean over;

    Read(String stream, long from, UniEmitter<? super Batch> emitter) {
      this.stream = stream;
      this.from = from;
      this.emitter = emitter;
      emitter.onTermination(this::abandon);
    }

    void begin() {
      begun = true;
      underWay++;
      long begunAtMillis = timers.nowMillis();
      running =
          log.readHistory(stream, from, PIECE_BYTES)
              .subscribe()
              .with(
                  batch -> onBatch(batch, begunAtMillis),
                  failure -> onLost(failure, begunAtMillis));
    }

    private void onBatch(Batch batch, long begunAtMillis) {
      if (end()) {
        window.onReadCompleted(timers.nowMillis() - begunAtMillis);
        emitter.complete(batch);
        beginReads();
      }
    }

    private void onLost(Throwable failure, long begunAtMillis) {
      if (end()) {
        if (PlatformException.from(failure).kind() != PlatformException.Kind.NOT_RUN) {
          window.onReadLost(begunAtMillis, timers.nowMillis());
        }
        emitter.fail(failure);
        beginReads();
      }
    }

    /** Nobody waits for it any more. */
    private void abandon() {
      if (!begun) {
        waiting.remove(this);
      } else if (end()) {
        if (running != null) {
          running.cancel();
        }
        beginReads();
      }
    }

    private boolean end() {
      if (over) {
        return false;
      }
      over = true;
      underWay--;
      return true;
    }
  }
}
